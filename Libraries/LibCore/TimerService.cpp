#include <LibCore/TimerService.h>

#include <algorithm>
#include <utility>

namespace Ibisturn {

SubscriptionId TimerService::subscribe(TimePoint now, Duration period, Callback callback)
{
    const std::scoped_lock lock(mutex_);
    const SubscriptionId id(++lastId_);
    subscriptions_.emplace(id, Subscription { period, now + period, std::move(callback) });
    return id;
}

void TimerService::unsubscribe(SubscriptionId id)
{
    const std::scoped_lock lock(mutex_);
    subscriptions_.erase(id);
}

void TimerService::advance(TimePoint now)
{
    // Callbacks run without holding the lock, so that they can subscribe and unsubscribe.
    while (auto callback = takeDue(now))
        (*callback)(now);
}

std::optional<TimePoint> TimerService::nextDue() const
{
    const std::scoped_lock lock(mutex_);
    std::optional<TimePoint> earliest;
    for (const auto& [id, subscription] : subscriptions_) {
        if (!earliest || subscription.due < *earliest)
            earliest = subscription.due;
    }
    return earliest;
}

std::optional<TimerService::Callback> TimerService::takeDue(TimePoint now)
{
    const std::scoped_lock lock(mutex_);
    const auto isDue = [now](const auto& entry) { return entry.second.due <= now; };
    const auto found = std::find_if(subscriptions_.begin(), subscriptions_.end(), isDue);
    if (found == subscriptions_.end())
        return std::nullopt;
    found->second.due = now + found->second.period;
    return found->second.callback;
}

} // namespace Ibisturn
