#pragma once

#include <LibCore/Clock.h>
#include <LibCore/Identifier.h>

#include <optional>
#include <span>

namespace Ibisturn {

/// What is known of a data centre that could run a request.
struct DataCentreCandidate {
    DataCentreId id;
    /// The wait that a request would meet there.
    Duration expectedWait;
    /// One way to it; zero for home.
    Duration distance;
    /// The share of the link to it that is in use; 0 for home.
    double linkUtilisation { 0 };
    /// When it came back with cold caches; nothing if it has been there all along.
    std::optional<TimePoint> returnedAt;
};

/// The cost of leaving home.
struct SpillPolicy {
    /// The wait saved must exceed the way there and back by this much.
    Duration leastGain { std::chrono::milliseconds(200) };
    /// Above this share of the link nothing more is sent over it.
    double mostLinkUtilisation { 0.7 };
    /// A data centre that returned takes its whole share again only after this.
    Duration returnRamp { std::chrono::seconds(60) };
};

/// Chooses the data centre for a request. Home comes first: another one only when the wait at home exceeds
/// the wait there by more than the link costs. `spread` in [0, 1) lets a returned data centre take a share
/// that grows with time. Precondition: `candidates` is not empty, home is first, and each is permitted.
/// Thread safety: any thread.
std::size_t chooseDataCentre(TimePoint now, std::span<const DataCentreCandidate> candidates, const SpillPolicy& policy, double spread);

} // namespace Ibisturn
