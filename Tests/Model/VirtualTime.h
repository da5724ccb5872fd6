#pragma once

#include <LibCore/Clock.h>

#include <functional>
#include <queue>
#include <tuple>
#include <vector>

namespace Ibisturn::Model {

/// A clock and event queue of a simulation. Events run in the order of their times; those of the same time run in the order
/// in which they were scheduled.
/// Thread safety: one thread.
class VirtualTime {
public:
    TimePoint now() const { return now_; }

    /// Calls `function` after `delay`. Precondition: `delay` is not negative.
    void after(Duration delay, std::function<void()> function) { events_.push({ now_ + delay, nextEvent_++, std::move(function) }); }

    /// Calls `function` after each `period`, for as long as the simulation runs.
    void every(Duration period, const std::function<void()>& function)
    {
        after(period, [=, this] {
            function();
            every(period, function);
        });
    }

    /// Runs all events up to and including `end`, and sets the clock to `end`.
    void runUntil(TimePoint end)
    {
        while (!events_.empty() && events_.top().time <= end) {
            const auto event = events_.top();
            events_.pop();
            now_ = event.time;
            event.function();
        }
        now_ = end;
    }

private:
    struct Event {
        TimePoint time;
        std::uint64_t number;
        std::function<void()> function;
        bool operator<(const Event& other) const { return std::tie(time, number) > std::tie(other.time, other.number); }
    };

    // Not zero, because some code uses the zero time for "never".
    TimePoint now_ { std::chrono::hours(1) };
    std::priority_queue<Event> events_;
    std::uint64_t nextEvent_ { 0 };
};

} // namespace Ibisturn::Model
