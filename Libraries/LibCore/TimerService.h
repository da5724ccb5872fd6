#pragma once

#include <LibCore/Clock.h>
#include <LibCore/Quantity.h>

#include <functional>
#include <map>
#include <mutex>
#include <optional>

namespace Ibisturn {

using SubscriptionId = Quantity<struct SubscriptionTag, std::uint64_t>;

/// Periodically calls subscribers. The event loop advances it in production; tests advance it explicitly.
class TimerService {
public:
    using Callback = std::function<void(TimePoint)>;

    /// Calls `callback` every `period`, for the first time one period after `now`.
    /// Precondition: `period` is positive. Thread safety: any thread.
    SubscriptionId subscribe(TimePoint now, Duration period, Callback callback);

    /// Ends a subscription; unknown ids are ignored. A callback that is already running is not interrupted.
    /// Thread safety: any thread.
    void unsubscribe(SubscriptionId id);

    /// Calls every subscriber that is due. A subscriber that missed several periods is called once.
    /// Precondition: `now` does not decrease. Thread safety: one thread at a time.
    void advance(TimePoint now);

    /// When the next subscriber is due. Thread safety: any thread.
    std::optional<TimePoint> nextDue() const;

private:
    struct Subscription {
        Duration period;
        TimePoint due;
        Callback callback;
    };

    std::optional<Callback> takeDue(TimePoint now);

    mutable std::mutex mutex_;
    std::uint64_t lastId_ { 0 };
    std::map<SubscriptionId, Subscription> subscriptions_;
};

} // namespace Ibisturn
