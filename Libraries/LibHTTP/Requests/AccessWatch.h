#pragma once

#include <LibCore/TimerService.h>
#include <LibDecision/Requests/RequestAccess.h>
#include <LibHTTP/Requests/Cancellation.h>

#include <map>
#include <memory>
#include <optional>

namespace Ibisturn {

/// The requests of one worker that wait or run. Each new snapshot is checked against all of them.
/// Thread safety: one worker.
class AccessWatch {
    struct Watched {
        /// Empty for a request that configuration changes do not cancel.
        std::optional<RequestAccess> access;
        RegionId region;
        CancellationPointer cancellation;
    };
    using WatchedRequests = std::map<SubscriptionId, Watched>;

public:
    /// Cancels each request that `snapshot` no longer permits. Does nothing if the snapshot is the one reviewed last.
    void review(const SnapshotPointer& snapshot);

    /// Cancels all requests with `code`, so that their callers receive an error rather than a broken connection.
    void cancelAll(ResultCode code);

    /// A request that is watched for the lifetime of the object.
    class Subscription {
    public:
        /// `region` is the region that holds the request's data. Without `access`, only cancelAll() affects the request.
        Subscription(AccessWatch& watch, std::optional<RequestAccess> access, RegionId region, CancellationPointer cancellation);
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
    // Shared with the subscriptions: an event loop destroys its coroutines after the other members of the worker.
    std::shared_ptr<WatchedRequests> watched_ { std::make_shared<WatchedRequests>() };
};

} // namespace Ibisturn
