#pragma once

#include <LibConfiguration/Settings.h>
#include <LibCore/Clock.h>

#include <cstdint>

namespace Ibisturn {

enum class RegistrationState : std::uint8_t {
    Ready,
    /// It finishes what it has and takes nothing new.
    Draining,
};

/// When a backend server started, in milliseconds of the time of day; it tells two lives of one id apart.
using StartTime = Quantity<struct StartTimeTag, std::int64_t>;

/// What a backend server says of itself in the registry.
struct RegisteredServer {
    BackendServerId id;
    StartTime started;
    ServiceId service;
    Endpoint endpoint;
    RegionId region;
    DataCentreId dataCentre;
    RegistrationState state { RegistrationState::Ready };
    /// Requests that it runs at once.
    std::uint32_t slots { 0 };
    /// How much longer it is cold.
    Duration coldLeft {};
    /// Grows with each entry of one life.
    std::int64_t sequence { 0 };
};

} // namespace Ibisturn
