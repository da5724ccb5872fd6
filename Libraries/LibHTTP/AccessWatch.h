#pragma once

#include <LibCore/TimerService.h>
#include <LibDecision/Requests/RequestAccess.h>
#include <LibHTTP/Cancellation.h>

#include <map>

namespace Ibisturn {

/// The requests of one worker that wait or run, so that each new snapshot is asked about all of them.
/// Thread safety: one worker.
class AccessWatch {
public:
    /// Precondition: `here` is the region of this instance.
    explicit AccessWatch(RegionId here);

    /// Cancels each request that `snapshot` no longer permits; does nothing for a snapshot it has seen.
    void review(const SnapshotPointer& snapshot);

    /// A request that is watched while this lives.
    class Subscription {
    public:
        /// Precondition: `watch` outlives the subscription.
        Subscription(AccessWatch& watch, RequestAccess access, CancellationPointer cancellation);
        ~Subscription();
        Subscription(const Subscription&) = delete;
        Subscription& operator=(const Subscription&) = delete;

    private:
        AccessWatch& watch_;
        SubscriptionId id_;
    };

private:
    struct Watched {
        RequestAccess access;
        CancellationPointer cancellation;
    };

    RegionId here_;
    SnapshotPointer reviewed_;
    SubscriptionId lastId_;
    std::map<SubscriptionId, Watched> watched_;
};

} // namespace Ibisturn
