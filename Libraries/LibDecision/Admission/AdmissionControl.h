#pragma once

#include <LibCore/ResultCode.h>
#include <LibDecision/Admission/FairQueue.h>
#include <LibDecision/Routing/PoolStrategy.h>

#include <memory>
#include <set>
#include <variant>
#include <vector>

namespace Ibisturn {

/// A request for admission to one of a pool's backend servers.
struct AdmissionRequest {
    RequestId id;
    WorkspaceId workspace;
    TokenCount cost;
    /// When its first token must arrive at the latest.
    TimePoint deadline;
    PoolQuery query;
};

/// The priority of a request in the engine's own queue.
enum class EnginePriority : std::uint8_t {
    Ordinary,
    /// For a workspace that had no requests running.
    High,
};

/// Send the request to this backend server now.
struct DispatchAction {
    RequestId request;
    BackendPool::Index server;
    EnginePriority priority { EnginePriority::Ordinary };
};

/// Refuse the request; it has not run.
struct RefuseAction {
    RequestId request;
    ResultCode code;
    /// When the caller should retry.
    Duration retryAfter;
};

using AdmissionAction = std::variant<DispatchAction, RefuseAction>;

/// Decides when and where each request for one pool runs: fairly between workspaces and within each backend server's
/// concurrency limit. Requests that could not start before their deadline are refused early.
/// Thread safety: one thread at a time.
class AdmissionControl {
public:
    /// Precondition: `strategy` is not null.
    AdmissionControl(BackendPool pool, std::unique_ptr<PoolStrategy> strategy, FairQueueLimits limits);

    /// Handles the arrival of a request. Precondition: its id is new.
    std::vector<AdmissionAction> arrive(TimePoint now, const AdmissionRequest& request);

    /// Handles the end of a dispatched request. Precondition: a DispatchAction was returned for it and it has not ended yet.
    std::vector<AdmissionAction> finish(TimePoint now, RequestId request, Duration timeToFirstToken, ServiceSignal signal);

    /// Removes a waiting request whose caller disconnected; unknown ids are ignored.
    void cancel(RequestId request);

    /// Refuses expired requests and dispatches waiting ones, after time has passed or the pool has changed.
    std::vector<AdmissionAction> advance(TimePoint now);

    /// The pool, for load reports and availability.
    BackendPool& pool() { return pool_; }

    /// The number of waiting requests.
    std::size_t waiting() const { return queue_.size(); }

    /// The expected wait of a request that arrives now.
    Duration expectedWait() const;

private:
    struct RunningRequest {
        WorkspaceId workspace;
        BackendPool::Index server;
        TokenCount cost;
        TimePoint startedAt;
    };

    void dispatchWaiting(TimePoint now, std::vector<AdmissionAction>& actions);
    void refuseExpired(TimePoint now, std::vector<AdmissionAction>& actions);
    std::optional<QueuedRequest> takeNext();
    void dispatch(TimePoint now, const QueuedRequest& request, std::vector<AdmissionAction>& actions);
    bool isIdle(const WorkspaceId& workspace) const { return !runningByWorkspace_.contains(workspace); }
    void recordService(TimePoint now, const RunningRequest& running);
    void recordFirstToken(Duration timeToFirstToken);
    Duration firstTokenMargin() const;

    BackendPool pool_;
    std::unique_ptr<PoolStrategy> strategy_;
    FairQueue queue_;
    std::unordered_map<std::uint64_t, PoolQuery> queries_;
    std::unordered_map<std::uint64_t, RunningRequest> running_;
    std::unordered_map<WorkspaceId, std::uint32_t> runningByWorkspace_;
    /// Workspaces without running requests that may have waiting ones.
    std::set<WorkspaceId> idleWorkspaces_;
    /// Measured token rate of all backend servers together.
    double tokensPerSecond_ { 0 };
    double tokensInWindow_ { 0 };
    TimePoint windowStart_ {};
    /// Mean and mean deviation of the time from dispatch to the first token.
    double firstTokenSeconds_ { 0 };
    double firstTokenDeviation_ { 0 };
};

} // namespace Ibisturn
