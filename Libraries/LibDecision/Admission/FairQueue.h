#pragma once

#include <LibCore/Clock.h>
#include <LibCore/Identifier.h>
#include <LibCore/Quantity.h>

#include <cstdint>
#include <deque>
#include <optional>
#include <set>
#include <unordered_map>
#include <vector>

namespace Ibisturn {

/// A request that waits for a backend server.
struct QueuedRequest {
    RequestId id;
    WorkspaceId workspace;
    /// Prompt and expected answer.
    TokenCount cost;
    TimePoint arrived;
    /// It must be dispatched by then or not at all.
    TimePoint latestStart;
};

struct FairQueueLimits {
    /// Requests that wait in all.
    std::size_t requests { 1024 };
    /// Requests of one workspace that wait.
    std::size_t requestsPerWorkspace { 256 };
};

enum class QueueAnswer : std::uint8_t {
    Queued,
    Full,
};

/// Start-time fair queueing between workspaces in token cost: a workspace that sends several times its share
/// waits behind its own requests, and one that was idle goes next. Each operation takes a time that grows
/// with the logarithm of the workspaces.
/// Thread safety: one thread at a time.
class FairQueue {
public:
    explicit FairQueue(FairQueueLimits limits);

    /// Adds a request unless the queue, or its workspace's part of it, is full.
    /// Precondition: `request.id` is not queued and its cost is positive.
    QueueAnswer enqueue(QueuedRequest request);

    /// Takes the request that is next, if any. Precondition: expire() was called with the present time.
    std::optional<QueuedRequest> dequeue();

    /// Takes the first request of one workspace, if it has any. Precondition: as for dequeue().
    std::optional<QueuedRequest> dequeueFrom(const WorkspaceId& workspace);

    /// Removes and returns the requests whose latest start has passed.
    std::vector<QueuedRequest> expire(TimePoint now);

    /// Removes a request, whose caller went away for example; returns whether it was queued.
    bool remove(RequestId id);

    /// Requests that wait.
    std::size_t size() const { return size_; }

    /// Tokens that wait.
    TokenCount cost() const { return cost_; }

private:
    struct Lane {
        std::deque<QueuedRequest> requests;
        /// Start tag of the first request, in tokens of virtual service.
        double startTag { 0 };
    };
    struct LaneOrder {
        double startTag;
        WorkspaceId workspace;
        auto operator<=>(const LaneOrder&) const = default;
    };
    struct Deadline {
        TimePoint latestStart;
        RequestId id;
        WorkspaceId workspace;
        auto operator<=>(const Deadline&) const = default;
    };

    QueuedRequest takeFirst(const LaneOrder& order);
    void forgetFinishedTags();

    FairQueueLimits limits_;
    /// Start tag of the request served last.
    double virtualTime_ { 0 };
    std::size_t size_ { 0 };
    TokenCount cost_;
    std::unordered_map<WorkspaceId, Lane> lanes_;
    /// Finish tags of workspaces that have nothing queued but are ahead of virtual time.
    std::unordered_map<WorkspaceId, double> finishTags_;
    /// Lanes that have a request, by its start tag.
    std::set<LaneOrder> order_;
    std::set<Deadline> deadlines_;
    std::unordered_map<std::uint64_t, Deadline> deadlineById_;
};

} // namespace Ibisturn
