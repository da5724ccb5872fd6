#include <LibDecision/Admission/AdmissionControl.h>

#include <algorithm>
#include <cmath>
#include <utility>

namespace Ibisturn {

namespace {

constexpr Duration rateWindow = std::chrono::seconds(1);
/// Weight of the newest window in the average token rate.
constexpr double rateGain = 0.3;
/// Weights of the newest sample in the mean and the mean deviation, and how many deviations are allowed for.
constexpr double meanGain = 1.0 / 8;
constexpr double deviationGain = 1.0 / 4;
constexpr double deviations = 4;
constexpr Duration leastRetryAfter = std::chrono::seconds(1);

} // namespace

AdmissionControl::AdmissionControl(BackendPool pool, std::unique_ptr<PoolStrategy> strategy, FairQueueLimits limits)
    : pool_(std::move(pool))
    , strategy_(std::move(strategy))
    , queue_(limits)
{
}

std::vector<AdmissionAction> AdmissionControl::arrive(TimePoint now, const AdmissionRequest& request)
{
    std::vector<AdmissionAction> actions;
    const auto wait = expectedWait();
    const bool isIdleWorkspace = isIdle(request.workspace);
    // The expected wait is that of the whole queue, which the request of an idle workspace bypasses.
    const auto latestStart = request.deadline - firstTokenMargin();
    if (now + wait > latestStart && !isIdleWorkspace) {
        actions.push_back(RefuseAction { request.id, ResultCode::DeadlineUnreachable, std::max(wait, leastRetryAfter) });
        return actions;
    }
    const auto answer = queue_.enqueue({ request.id, request.workspace, request.cost, now, std::max(latestStart, now) });
    if (answer == QueueAnswer::Full) {
        actions.push_back(RefuseAction { request.id, ResultCode::Overloaded, std::max(wait, leastRetryAfter) });
        return actions;
    }
    queries_.emplace(request.id.count(), request.query);
    if (isIdleWorkspace)
        idleWaiting_.insert(request.workspace);
    dispatchWaiting(now, actions);
    return actions;
}

std::vector<AdmissionAction> AdmissionControl::finish(TimePoint now, RequestId request, Duration firstToken, ServiceSignal signal)
{
    std::vector<AdmissionAction> actions;
    const auto found = running_.find(request.count());
    if (found == running_.end())
        return actions;
    const auto running = std::move(found->second);
    running_.erase(found);
    pool_.finish(now, running.server, firstToken, signal);
    noteService(now, running);
    if (signal == ServiceSignal::Answered)
        noteFirstToken(firstToken);
    const auto count = runningByWorkspace_.find(running.workspace);
    if (--count->second == 0) {
        runningByWorkspace_.erase(count);
        idleWaiting_.insert(running.workspace);
    }
    dispatchWaiting(now, actions);
    return actions;
}

void AdmissionControl::cancel(RequestId request)
{
    queue_.remove(request);
    queries_.erase(request.count());
}

std::vector<AdmissionAction> AdmissionControl::advance(TimePoint now)
{
    std::vector<AdmissionAction> actions;
    dispatchWaiting(now, actions);
    return actions;
}

Duration AdmissionControl::expectedWait() const
{
    if (queue_.size() == 0 || servedPerSecond_ <= 0)
        return Duration::zero();
    const std::chrono::duration<double> wait(static_cast<double>(queue_.cost().count()) / servedPerSecond_);
    return std::chrono::duration_cast<Duration>(wait);
}

void AdmissionControl::dispatchWaiting(TimePoint now, std::vector<AdmissionAction>& actions)
{
    refuseExpired(now, actions);
    while (const auto next = takeNext())
        dispatch(now, *next, actions);
}

std::optional<QueuedRequest> AdmissionControl::takeNext()
{
    if (pool_.leastLoaded(RoomClass::Ordinary))
        return queue_.dequeue();
    while (!idleWaiting_.empty() && pool_.leastLoaded(RoomClass::IdleWorkspace)) {
        const auto workspace = *idleWaiting_.begin();
        idleWaiting_.erase(idleWaiting_.begin());
        // Its requests may have been dispatched or removed in the meantime.
        if (auto next = queue_.dequeueFrom(workspace))
            return next;
    }
    return std::nullopt;
}

void AdmissionControl::dispatch(TimePoint now, const QueuedRequest& request, std::vector<AdmissionAction>& actions)
{
    auto query = queries_.extract(request.id.count()).mapped();
    query.room = isIdle(request.workspace) ? RoomClass::IdleWorkspace : RoomClass::Ordinary;
    const auto chosen = strategy_->choose(pool_, query);
    const auto server = chosen ? *chosen : *pool_.leastLoaded(query.room);
    pool_.begin(now, server);
    ++runningByWorkspace_[request.workspace];
    idleWaiting_.erase(request.workspace);
    running_.emplace(request.id.count(), Running { request.workspace, server, request.cost, now });
    const auto priority = query.room == RoomClass::IdleWorkspace ? EnginePriority::High : EnginePriority::Ordinary;
    actions.push_back(DispatchAction { request.id, server, priority });
}

void AdmissionControl::refuseExpired(TimePoint now, std::vector<AdmissionAction>& actions)
{
    for (const auto& request : queue_.expire(now)) {
        queries_.erase(request.id.count());
        actions.push_back(RefuseAction { request.id, ResultCode::DeadlineUnreachable, std::max(expectedWait(), leastRetryAfter) });
    }
}

void AdmissionControl::noteService(TimePoint now, const Running& running)
{
    servedInWindow_ += static_cast<double>(running.cost.count());
    const auto elapsed = now - windowStart_;
    if (elapsed < rateWindow)
        return;
    const auto rate = servedInWindow_ / std::chrono::duration<double>(elapsed).count();
    servedPerSecond_ = servedPerSecond_ <= 0 ? rate : servedPerSecond_ + rateGain * (rate - servedPerSecond_);
    servedInWindow_ = 0;
    windowStart_ = now;
}

void AdmissionControl::noteFirstToken(Duration firstToken)
{
    const auto error = std::chrono::duration<double>(firstToken).count() - firstTokenSeconds_;
    firstTokenSeconds_ += meanGain * error;
    firstTokenDeviation_ += deviationGain * (std::abs(error) - firstTokenDeviation_);
}

Duration AdmissionControl::firstTokenMargin() const
{
    const std::chrono::duration<double> margin(firstTokenSeconds_ + deviations * firstTokenDeviation_);
    return std::chrono::duration_cast<Duration>(margin);
}

} // namespace Ibisturn
