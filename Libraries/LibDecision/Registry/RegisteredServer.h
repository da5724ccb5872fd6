#pragma once

#include <LibConfiguration/Settings.h>
#include <LibCore/Clock.h>

#include <cstdint>
#include <optional>

namespace Ibisturn {

enum class RegistrationState : std::uint8_t {
    Ready,
    /// Finishes the requests it has and accepts no new ones.
    Draining,
};

/// Start time of a backend server, in wall-clock milliseconds; distinguishes incarnations of one id.
using StartTime = Quantity<struct StartTimeTag, std::int64_t>;

/// Which process of a backend server is at the other end of a connection.
struct ServerProcess {
    /// Unset if the process did not say.
    std::optional<StartTime> started;
    /// When the process was asked, or the connection was made if it did not say.
    TimePoint askedAt {};
};

/// A backend server's own entry in the registry.
struct RegisteredServer {
    BackendServerId id;
    StartTime started;
    ServiceId service;
    Endpoint endpoint;
    RegionId region;
    DataCentreId dataCentre;
    SoftwareVersion version;
    RegistrationState state { RegistrationState::Ready };
    /// Maximum number of concurrent requests.
    std::uint32_t slots { 0 };
    /// Remaining time for which it is cold.
    Duration coldLeft {};
    /// Increases with each entry of one incarnation.
    std::int64_t sequence { 0 };
};

} // namespace Ibisturn
