#include <LibDecision/Requests/FleetRetryBudget.h>

#include <algorithm>

namespace Ibisturn {

namespace {

/// Requests reach backend servers later than they are counted here, so their windows differ; the margin covers that.
constexpr double safetyFactor = 0.8;
constexpr Duration budgetWindow = std::chrono::seconds(10);

} // namespace

FleetRetryBudget::FleetRetryBudget(FleetRetryLimits limits)
    : limits_(limits)
{
}

void FleetRetryBudget::setLimits(FleetRetryLimits limits)
{
    limits_ = limits;
    applyLimits();
}

void FleetRetryBudget::setInstances(std::size_t count)
{
    instanceCount_ = std::max<std::size_t>(1, count);
    applyLimits();
}

void FleetRetryBudget::applyLimits()
{
    for (auto& [service, budget] : budgets_)
        budget.setLimits(ownLimits());
}

void FleetRetryBudget::recordRequest(const ServiceId& service, TimePoint now)
{
    budgetOf(service).recordRequest(now);
}

bool FleetRetryBudget::takeRetry(const ServiceId& service, TimePoint now)
{
    return budgetOf(service).takeRetry(now);
}

RetryBudget& FleetRetryBudget::budgetOf(const ServiceId& service)
{
    return budgets_.try_emplace(service, ownLimits()).first->second;
}

RetryBudgetLimits FleetRetryBudget::ownLimits() const
{
    // RetryBudget counts over ten seconds; a longer fleet window spans several such periods.
    const auto windowShare = std::min(1.0, std::chrono::duration<double>(budgetWindow) / std::chrono::duration<double>(limits_.window));
    return { limits_.ratio * safetyFactor, static_cast<std::uint32_t>(limits_.reserve * safetyFactor * windowShare / static_cast<double>(instanceCount_)) };
}

} // namespace Ibisturn
