#pragma once

#include <LibDecision/Membership/MembershipTracker.h>

#include <mutex>
#include <utility>
#include <vector>

namespace Ibisturn {

/// Reachability of other instances as observed by forwarded requests since the last call of take().
/// Thread safety: all methods from any thread.
class PeerReachabilityTable {
public:
    struct Observation {
        InstanceId instance;
        Reachability reach { Reachability::Reachable };
    };

    /// Records whether `instance` answered a request. Observations beyond the limit are dropped.
    void record(const InstanceId& instance, Reachability reach)
    {
        const std::scoped_lock lock(mutex_);
        if (observations_.size() < maxObservations)
            observations_.push_back({ instance, reach });
    }

    /// Removes and returns the observations, oldest first.
    std::vector<Observation> take()
    {
        const std::scoped_lock lock(mutex_);
        return std::exchange(observations_, {});
    }

private:
    static constexpr std::size_t maxObservations = 1024;

    std::mutex mutex_;
    std::vector<Observation> observations_;
};

} // namespace Ibisturn
