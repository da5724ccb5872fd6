#pragma once

#include <LibCore/ResultCode.h>
#include <LibDecision/Admission/FairQueue.h>
#include <LibDecision/Routing/PoolStrategy.h>

#include <memory>
#include <set>
#include <variant>
#include <vector>

namespace Ibisturn {

/// A request that asks to run on one of a pool's backend servers.
struct AdmissionRequest {
    RequestId id;
    WorkspaceId workspace;
    TokenCount cost;
    /// Its first token must come by then.
    TimePoint deadline;
    PoolQuery query;
};

/// The order in which an engine serves what waits there.
enum class EnginePriority : std::uint8_t {
    Ordinary,
    /// For a workspace that had nothing running.
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
    /// When it is worth coming back.
    Duration retryAfter;
};

using AdmissionAction = std::variant<DispatchAction, RefuseAction>;

/// Decides when each request for one pool runs, and where: fair between workspaces, within each backend
/// server's limit, and refused early if it could not start before its deadline.
/// Thread safety: one thread at a time.
class AdmissionControl {
public:
    /// Precondition: `strategy` is not null.
    AdmissionControl(BackendPool pool, std::unique_ptr<PoolStrategy> strategy, FairQueueLimits limits);

    /// A request came. Precondition: its id is new.
    std::vector<AdmissionAction> arrive(TimePoint now, const AdmissionRequest& request);

    /// A dispatched request ended. Precondition: a DispatchAction named it and it did not end yet.
    std::vector<AdmissionAction> finish(TimePoint now, RequestId request, Duration firstToken, ServiceSignal signal);

    /// A waiting request's caller went away; unknown ids are ignored.
    void cancel(RequestId request);

    /// Time passed, or the pool changed.
    std::vector<AdmissionAction> advance(TimePoint now);

    /// The pool, for load reports and availability.
    BackendPool& pool() { return pool_; }

    /// Requests that wait.
    std::size_t waiting() const { return queue_.size(); }

    /// The wait that a request which arrived now would meet.
    Duration expectedWait() const;

private:
    struct Running {
        WorkspaceId workspace;
        BackendPool::Index server;
        TokenCount cost;
        TimePoint began;
    };

    void dispatchWaiting(TimePoint now, std::vector<AdmissionAction>& actions);
    void refuseExpired(TimePoint now, std::vector<AdmissionAction>& actions);
    std::optional<QueuedRequest> takeNext();
    void dispatch(TimePoint now, const QueuedRequest& request, std::vector<AdmissionAction>& actions);
    bool isIdle(const WorkspaceId& workspace) const { return !runningByWorkspace_.contains(workspace); }
    void noteService(TimePoint now, const Running& running);
    void noteFirstToken(Duration firstToken);
    Duration firstTokenMargin() const;

    BackendPool pool_;
    std::unique_ptr<PoolStrategy> strategy_;
    FairQueue queue_;
    std::unordered_map<std::uint64_t, PoolQuery> queries_;
    std::unordered_map<std::uint64_t, Running> running_;
    std::unordered_map<WorkspaceId, std::uint32_t> runningByWorkspace_;
    /// Workspaces that wait with nothing running.
    std::set<WorkspaceId> idleWaiting_;
    /// Tokens per second that all backend servers together have been seen to serve.
    double servedPerSecond_ { 0 };
    double servedInWindow_ { 0 };
    TimePoint windowStart_ {};
    /// Mean and mean deviation of the time from dispatch to the first token.
    double firstTokenSeconds_ { 0 };
    double firstTokenDeviation_ { 0 };
};

} // namespace Ibisturn
