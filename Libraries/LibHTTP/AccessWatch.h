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
    /// Cancels each request that `snapshot` no longer permits; does nothing for a snapshot it has seen.
    void review(const SnapshotPointer& snapshot);

    /// Cancels all of them with `code`, so that their callers see an error rather than a broken connection.
    void cancelAll(ResultCode code);

    /// A request that is watched while this lives.
    class Subscription {
    public:
        /// `region` is where the request's data is. Precondition: `watch` outlives the subscription.
        Subscription(AccessWatch& watch, RequestAccess access, RegionId region, CancellationPointer cancellation);
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
        RegionId region;
        CancellationPointer cancellation;
    };

    SnapshotPointer reviewed_;
    SubscriptionId lastId_;
    std::map<SubscriptionId, Watched> watched_;
};

} // namespace Ibisturn
