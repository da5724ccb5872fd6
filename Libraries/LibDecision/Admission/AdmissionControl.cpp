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
constexpr double allowedDeviations = 4;
constexpr Duration minRetryAfter = std::chrono::seconds(1);

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
        actions.push_back(RefuseAction { request.id, ResultCode::DeadlineUnreachable, std::max(wait, minRetryAfter) });
        return actions;
    }
    const auto result = queue_.enqueue({ request.id, request.workspace, request.cost, now, std::max(latestStart, now) });
    if (result == EnqueueResult::Full) {
        actions.push_back(RefuseAction { request.id, ResultCode::Overloaded, std::max(wait, minRetryAfter) });
        return actions;
    }
    queries_.emplace(request.id.count(), request.query);
    if (isIdleWorkspace)
        idleWorkspaces_.insert(request.workspace);
    dispatchWaiting(now, actions);
    return actions;
}

std::vector<AdmissionAction> AdmissionControl::finish(TimePoint now, RequestId request, Duration timeToFirstToken, ServiceSignal signal)
{
    std::vector<AdmissionAction> actions;
    const auto found = running_.find(request.count());
    if (found == running_.end())
        return actions;
    const auto running = std::move(found->second);
    running_.erase(found);
    pool_.finish(now, running.server, timeToFirstToken, signal);
    recordService(now, running);
    if (signal == ServiceSignal::Answered)
        recordFirstToken(timeToFirstToken);
    const auto count = runningByWorkspace_.find(running.workspace);
    if (--count->second == 0) {
        runningByWorkspace_.erase(count);
        idleWorkspaces_.insert(running.workspace);
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
    if (queue_.size() == 0 || tokensPerSecond_ <= 0)
        return Duration::zero();
    const std::chrono::duration<double> wait(static_cast<double>(queue_.cost().count()) / tokensPerSecond_);
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
    if (pool_.leastLoaded(CapacityClass::Ordinary))
        return queue_.dequeue();
    while (!idleWorkspaces_.empty() && pool_.leastLoaded(CapacityClass::IdleWorkspace)) {
        const auto workspace = *idleWorkspaces_.begin();
        idleWorkspaces_.erase(idleWorkspaces_.begin());
        // Its requests may have been dispatched or removed in the meantime.
        if (auto next = queue_.dequeueFrom(workspace))
            return next;
    }
    return std::nullopt;
}

void AdmissionControl::dispatch(TimePoint now, const QueuedRequest& request, std::vector<AdmissionAction>& actions)
{
    auto query = queries_.extract(request.id.count()).mapped();
    query.capacityClass = isIdle(request.workspace) ? CapacityClass::IdleWorkspace : CapacityClass::Ordinary;
    const auto chosen = strategy_->choose(pool_, query);
    const auto server = chosen ? *chosen : *pool_.leastLoaded(query.capacityClass);
    pool_.begin(now, server);
    ++runningByWorkspace_[request.workspace];
    idleWorkspaces_.erase(request.workspace);
    running_.emplace(request.id.count(), RunningRequest { request.workspace, server, request.cost, now });
    const auto priority = query.capacityClass == CapacityClass::IdleWorkspace ? EnginePriority::High : EnginePriority::Ordinary;
    actions.push_back(DispatchAction { request.id, server, priority });
}

void AdmissionControl::refuseExpired(TimePoint now, std::vector<AdmissionAction>& actions)
{
    for (const auto& request : queue_.expire(now)) {
        queries_.erase(request.id.count());
        actions.push_back(RefuseAction { request.id, ResultCode::DeadlineUnreachable, std::max(expectedWait(), minRetryAfter) });
    }
}

void AdmissionControl::recordService(TimePoint now, const RunningRequest& running)
{
    tokensInWindow_ += static_cast<double>(running.cost.count());
    const auto elapsed = now - windowStart_;
    if (elapsed < rateWindow)
        return;
    const auto rate = tokensInWindow_ / std::chrono::duration<double>(elapsed).count();
    tokensPerSecond_ = tokensPerSecond_ <= 0 ? rate : tokensPerSecond_ + rateGain * (rate - tokensPerSecond_);
    tokensInWindow_ = 0;
    windowStart_ = now;
}

void AdmissionControl::recordFirstToken(Duration timeToFirstToken)
{
    const auto error = std::chrono::duration<double>(timeToFirstToken).count() - firstTokenSeconds_;
    firstTokenSeconds_ += meanGain * error;
    firstTokenDeviation_ += deviationGain * (std::abs(error) - firstTokenDeviation_);
}

Duration AdmissionControl::firstTokenMargin() const
{
    const std::chrono::duration<double> margin(firstTokenSeconds_ + allowedDeviations * firstTokenDeviation_);
    return std::chrono::duration_cast<Duration>(margin);
}

} // namespace Ibisturn
