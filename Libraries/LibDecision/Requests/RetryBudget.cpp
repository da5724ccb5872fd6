#include <LibDecision/Requests/RetryBudget.h>

namespace Ibisturn {

namespace {

std::int64_t secondOf(TimePoint now)
{
    return std::chrono::duration_cast<std::chrono::seconds>(now.time_since_epoch()).count();
}

} // namespace

RetryBudget::RetryBudget(RetryBudgetLimits limits)
    : limits_(limits)
{
}

void RetryBudget::recordRequest(TimePoint now)
{
    ++slotAt(now).requests;
}

bool RetryBudget::takeRetry(TimePoint now)
{
    const auto recent = sumUntil(now);
    const double permitted = limits_.reserve + limits_.ratio * recent.requests;
    if (recent.retries + 1 > permitted)
        return false;
    ++slotAt(now).retries;
    return true;
}

RetryBudget::Slot& RetryBudget::slotAt(TimePoint now)
{
    const auto second = secondOf(now);
    auto& slot = slots_.at(static_cast<std::size_t>(second) % slotCount);
    if (slot.second != second)
        slot = { second, 0, 0 };
    return slot;
}

RetryBudget::Slot RetryBudget::sumUntil(TimePoint now) const
{
    Slot sum;
    const auto second = secondOf(now);
    for (const auto& slot : slots_) {
        const bool isRecent = slot.second >= 0 && slot.second + static_cast<std::int64_t>(slotCount) > second;
        if (!isRecent)
            continue;
        sum.requests += slot.requests;
        sum.retries += slot.retries;
    }
    return sum;
}

} // namespace Ibisturn
