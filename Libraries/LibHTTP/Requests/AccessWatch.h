#pragma once

#include <LibCore/TimerService.h>
#include <LibDecision/Requests/RequestAccess.h>
#include <LibHTTP/Requests/Cancellation.h>

#include <map>
#include <memory>

namespace Ibisturn {

/// The requests of one worker that wait or run, so that each new snapshot is asked about all of them.
/// Thread safety: one worker.
class AccessWatch {
    struct Watched {
        RequestAccess access;
        RegionId region;
        CancellationPointer cancellation;
    };
    using WatchedRequests = std::map<SubscriptionId, Watched>;

public:
    /// Cancels each request that `snapshot` no longer permits; does nothing for a snapshot it has seen.
    void review(const SnapshotPointer& snapshot);

    /// Cancels all of them with `code`, so that their callers see an error rather than a broken connection.
    void cancelAll(ResultCode code);

    /// A request that is watched while this lives.
    class Subscription {
    public:
        /// `region` is where the request's data is.
        Subscription(AccessWatch& watch, RequestAccess access, RegionId region, CancellationPointer cancellation);
        ~Subscription();
        Subscription(const Subscription&) = delete;
        Subscription& operator=(const Subscription&) = delete;

    private:
        std::shared_ptr<WatchedRequests> watched_;
        SubscriptionId id_;
    };

private:
    SnapshotPointer reviewed_;
    SubscriptionId lastId_;
    // Subscriptions share it: an event loop that ends destroys its coroutines after the worker's other parts.
    std::shared_ptr<WatchedRequests> watched_ { std::make_shared<WatchedRequests>() };
};

} // namespace Ibisturn
