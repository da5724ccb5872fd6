#include <LibDecision/Admission/FairQueue.h>

#include <algorithm>
#include <utility>

namespace Ibisturn {

namespace {

constexpr std::size_t finishTagSweep = 4096;

} // namespace

FairQueue::FairQueue(FairQueueLimits limits)
    : limits_(limits)
{
}

QueueAnswer FairQueue::enqueue(QueuedRequest request)
{
    if (size_ >= limits_.requests)
        return QueueAnswer::Full;
    auto& lane = lanes_[request.workspace];
    if (lane.requests.size() >= limits_.requestsPerWorkspace)
        return QueueAnswer::Full;
    if (lane.requests.empty()) {
        const auto finished = finishTags_.find(request.workspace);
        lane.startTag = finished == finishTags_.end() ? virtualTime_ : std::max(virtualTime_, finished->second);
        order_.insert({ lane.startTag, request.workspace });
    }
    const Deadline deadline { request.latestStart, request.id, request.workspace };
    deadlines_.insert(deadline);
    deadlineById_.emplace(request.id.count(), deadline);
    cost_ += request.cost;
    ++size_;
    lane.requests.push_back(std::move(request));
    return QueueAnswer::Queued;
}

std::optional<QueuedRequest> FairQueue::dequeue()
{
    if (order_.empty())
        return std::nullopt;
    return takeFirst(LaneOrder(*order_.begin()));
}

std::optional<QueuedRequest> FairQueue::dequeueFrom(const WorkspaceId& workspace)
{
    const auto lane = lanes_.find(workspace);
    if (lane == lanes_.end() || lane->second.requests.empty())
        return std::nullopt;
    return takeFirst({ lane->second.startTag, workspace });
}

std::vector<QueuedRequest> FairQueue::expire(TimePoint now)
{
    std::vector<QueuedRequest> expired;
    while (!deadlines_.empty() && deadlines_.begin()->latestStart < now) {
        const auto deadline = *deadlines_.begin();
        const auto& requests = lanes_.at(deadline.workspace).requests;
        const auto found = std::find_if(requests.begin(), requests.end(), [&](const auto& request) { return request.id == deadline.id; });
        expired.push_back(*found);
        remove(deadline.id);
    }
    return expired;
}

bool FairQueue::remove(RequestId id)
{
    const auto known = deadlineById_.find(id.count());
    if (known == deadlineById_.end())
        return false;
    const auto deadline = known->second;
    auto& lane = lanes_.at(deadline.workspace);
    const auto found = std::find_if(lane.requests.begin(), lane.requests.end(), [id](const auto& request) { return request.id == id; });
    cost_ -= found->cost;
    --size_;
    lane.requests.erase(found);
    deadlines_.erase(deadline);
    deadlineById_.erase(known);
    if (!lane.requests.empty())
        return true;
    // A request that was never served costs the workspace nothing: its next request reuses the start tag.
    order_.erase({ lane.startTag, deadline.workspace });
    finishTags_[deadline.workspace] = lane.startTag;
    lanes_.erase(deadline.workspace);
    return true;
}

QueuedRequest FairQueue::takeFirst(const LaneOrder& order)
{
    order_.erase(order);
    auto& lane = lanes_.at(order.workspace);
    auto request = std::move(lane.requests.front());
    lane.requests.pop_front();
    deadlines_.erase({ request.latestStart, request.id, request.workspace });
    deadlineById_.erase(request.id.count());
    cost_ -= request.cost;
    --size_;
    virtualTime_ = std::max(virtualTime_, order.startTag);
    const double finishTag = order.startTag + static_cast<double>(request.cost.count());
    if (lane.requests.empty()) {
        lanes_.erase(order.workspace);
        finishTags_[order.workspace] = finishTag;
        forgetFinishedTags();
        return request;
    }
    lane.startTag = finishTag;
    order_.insert({ finishTag, order.workspace });
    return request;
}

// A finish tag behind virtual time no longer affects the order.
void FairQueue::forgetFinishedTags()
{
    if (finishTags_.size() < finishTagSweep)
        return;
    std::erase_if(finishTags_, [this](const auto& entry) { return entry.second <= virtualTime_; });
}

} // namespace Ibisturn
