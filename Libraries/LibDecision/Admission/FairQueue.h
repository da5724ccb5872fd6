#pragma once

#include <LibCore/Clock.h>
#include <LibCore/Identifier.h>
#include <LibCore/Quantity.h>

#include <cstdint>
#include <list>
#include <optional>
#include <set>
#include <unordered_map>
#include <vector>

namespace Ibisturn {

/// A request that waits for a backend server.
struct QueuedRequest {
    RequestId id;
    WorkspaceId workspace;
    /// Tokens of the prompt and the expected answer.
    TokenCount cost;
    TimePoint arrived;
    /// It must not be dispatched after this time.
    TimePoint latestStart;
};

struct FairQueueLimits {
    /// Maximum number of waiting requests in total.
    std::size_t requests { 1024 };
    /// Maximum number of waiting requests of one workspace.
    std::size_t requestsPerWorkspace { 256 };
};

enum class EnqueueResult : std::uint8_t {
    Queued,
    Full,
};

/// Start-time fair queueing between workspaces by token cost: a workspace that exceeds its share waits behind its own
/// requests, and one that was idle is served next. All operations on one request take logarithmic time in the
/// number of workspaces and waiting requests, except for a sweep of finish tags.
/// Thread safety: one thread at a time.
class FairQueue {
public:
    explicit FairQueue(FairQueueLimits limits);

    /// Adds a request unless the queue or its workspace's part of it is full.
    /// Precondition: `request.id` is not queued and its cost is positive.
    EnqueueResult enqueue(QueuedRequest request);

    /// Removes and returns the next request, if any. Precondition: expire() was called with the present time.
    std::optional<QueuedRequest> dequeue();

    /// Removes and returns the first request of one workspace, if it has any. Precondition: as for dequeue().
    std::optional<QueuedRequest> dequeueFrom(const WorkspaceId& workspace);

    /// Removes and returns the requests whose latest start time has passed.
    std::vector<QueuedRequest> expire(TimePoint now);

    /// Removes a request, for example after its caller disconnected; returns whether it was queued.
    bool remove(RequestId id);

    /// The number of waiting requests.
    std::size_t size() const { return size_; }

    /// The total token cost of the waiting requests.
    TokenCount cost() const { return cost_; }

private:
    struct WorkspaceQueue {
        std::list<QueuedRequest> requests;
        /// Start tag of the first request, in tokens of virtual service.
        double startTag { 0 };
    };
    struct WorkspaceOrder {
        double startTag;
        WorkspaceId workspace;
        auto operator<=>(const WorkspaceOrder&) const = default;
    };
    struct Deadline {
        TimePoint latestStart;
        RequestId id;
        WorkspaceId workspace;
        auto operator<=>(const Deadline&) const = default;
    };

    /// Where a queued request is found.
    struct Position {
        Deadline deadline;
        std::list<QueuedRequest>::iterator request;
    };

    QueuedRequest takeFirst(const WorkspaceOrder& order);
    void discardObsoleteFinishTags();

    FairQueueLimits limits_;
    /// The highest start tag served so far.
    double virtualTime_ { 0 };
    std::size_t size_ { 0 };
    TokenCount cost_;
    std::unordered_map<WorkspaceId, WorkspaceQueue> workspaceQueues_;
    /// Finish tags of workspaces that have no queued requests but may be ahead of virtual time.
    std::unordered_map<WorkspaceId, double> finishTags_;
    /// Non-empty workspace queues, ordered by the start tag of their first request.
    std::set<WorkspaceOrder> workspaceOrder_;
    std::set<Deadline> deadlines_;
    std::unordered_map<std::uint64_t, Position> positionById_;
};

} // namespace Ibisturn
