#include <LibDecision/Admission/FairQueue.h>

#include <algorithm>
#include <iterator>
#include <utility>

namespace Ibisturn {

namespace {

constexpr std::size_t finishTagSweepThreshold = 4096;

} // namespace

FairQueue::FairQueue(FairQueueLimits limits)
    : limits_(limits)
{
}

EnqueueResult FairQueue::enqueue(QueuedRequest request)
{
    if (size_ >= limits_.requests)
        return EnqueueResult::Full;
    auto& workspaceQueue = workspaceQueues_[request.workspace];
    if (workspaceQueue.requests.size() >= limits_.requestsPerWorkspace)
        return EnqueueResult::Full;
    if (workspaceQueue.requests.empty()) {
        const auto finished = finishTags_.find(request.workspace);
        workspaceQueue.startTag = finished == finishTags_.end() ? virtualTime_ : std::max(virtualTime_, finished->second);
        workspaceOrder_.insert({ workspaceQueue.startTag, request.workspace });
    }
    const Deadline deadline { request.latestStart, request.id, request.workspace };
    deadlines_.insert(deadline);
    cost_ += request.cost;
    ++size_;
    workspaceQueue.requests.push_back(std::move(request));
    positionById_.emplace(deadline.id.count(), Position { deadline, std::prev(workspaceQueue.requests.end()) });
    return EnqueueResult::Queued;
}

std::optional<QueuedRequest> FairQueue::dequeue()
{
    if (workspaceOrder_.empty())
        return std::nullopt;
    return takeFirst(WorkspaceOrder(*workspaceOrder_.begin()));
}

std::optional<QueuedRequest> FairQueue::dequeueFrom(const WorkspaceId& workspace)
{
    const auto workspaceQueue = workspaceQueues_.find(workspace);
    if (workspaceQueue == workspaceQueues_.end() || workspaceQueue->second.requests.empty())
        return std::nullopt;
    return takeFirst({ workspaceQueue->second.startTag, workspace });
}

std::vector<QueuedRequest> FairQueue::expire(TimePoint now)
{
    std::vector<QueuedRequest> expired;
    while (!deadlines_.empty() && deadlines_.begin()->latestStart < now) {
        const auto id = deadlines_.begin()->id;
        expired.push_back(*positionById_.at(id.count()).request);
        remove(id);
    }
    return expired;
}

bool FairQueue::remove(RequestId id)
{
    const auto known = positionById_.find(id.count());
    if (known == positionById_.end())
        return false;
    const auto [deadline, request] = known->second;
    auto& workspaceQueue = workspaceQueues_.at(deadline.workspace);
    cost_ -= request->cost;
    --size_;
    workspaceQueue.requests.erase(request);
    deadlines_.erase(deadline);
    positionById_.erase(known);
    if (!workspaceQueue.requests.empty())
        return true;
    // A request that was never served costs the workspace nothing: its next request reuses the start tag.
    workspaceOrder_.erase({ workspaceQueue.startTag, deadline.workspace });
    finishTags_[deadline.workspace] = workspaceQueue.startTag;
    workspaceQueues_.erase(deadline.workspace);
    return true;
}

QueuedRequest FairQueue::takeFirst(const WorkspaceOrder& order)
{
    workspaceOrder_.erase(order);
    auto& workspaceQueue = workspaceQueues_.at(order.workspace);
    auto request = std::move(workspaceQueue.requests.front());
    workspaceQueue.requests.pop_front();
    deadlines_.erase({ request.latestStart, request.id, request.workspace });
    positionById_.erase(request.id.count());
    cost_ -= request.cost;
    --size_;
    virtualTime_ = std::max(virtualTime_, order.startTag);
    const double finishTag = order.startTag + static_cast<double>(request.cost.count());
    if (workspaceQueue.requests.empty()) {
        workspaceQueues_.erase(order.workspace);
        finishTags_[order.workspace] = finishTag;
        discardObsoleteFinishTags();
        return request;
    }
    workspaceQueue.startTag = finishTag;
    workspaceOrder_.insert({ finishTag, order.workspace });
    return request;
}

// A finish tag behind virtual time no longer affects the order.
void FairQueue::discardObsoleteFinishTags()
{
    if (finishTags_.size() < finishTagSweepThreshold)
        return;
    std::erase_if(finishTags_, [this](const auto& entry) { return entry.second <= virtualTime_; });
}

} // namespace Ibisturn
