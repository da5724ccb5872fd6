#pragma once

#include <LibCore/Clock.h>
#include <LibCore/Identifier.h>

#include <optional>
#include <span>

namespace Ibisturn {

/// A data centre that could run a request.
struct DataCentreCandidate {
    DataCentreId id;
    /// The expected wait of a new request there.
    Duration expectedWait;
    /// One-way network latency to it; zero for the home data centre.
    Duration oneWayLatency;
    /// The share of the link to it that is in use; 0 for the home data centre.
    double linkUtilisation { 0 };
    /// When it became available again with cold caches; nullopt if it has been available throughout.
    std::optional<TimePoint> recoveredAt;
};

/// When requests may spill over from the home data centre to another one.
struct SpillPolicy {
    /// The wait saved must exceed the network round trip by this much.
    Duration minGain { std::chrono::milliseconds(200) };
    /// A link whose utilisation exceeds this share takes no more requests.
    double maxLinkUtilisation { 0.7 };
    /// Time over which a data centre that became available again ramps up to its full share.
    Duration recoveryRamp { std::chrono::seconds(60) };
};

/// Chooses the data centre for a request: the home data centre, unless the wait there exceeds the wait of another one by more
/// than the cost of the link. `rampSample`, uniformly distributed in [0, 1), determines whether the request belongs to
/// the growing share of a data centre that is ramping up.
/// Precondition: `candidates` is not empty, the home data centre is first, and each is permitted.
/// Thread safety: any thread.
std::size_t chooseDataCentre(TimePoint now, std::span<const DataCentreCandidate> candidates, const SpillPolicy& policy, double rampSample);

} // namespace Ibisturn
