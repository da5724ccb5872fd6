#pragma once

#include <LibCore/Clock.h>

#include <functional>
#include <queue>
#include <tuple>
#include <vector>

namespace Ibisturn::Model {

/// Events in the order of their times; of one time, in the order in which they were planned.
/// Thread safety: one thread.
class VirtualTime {
public:
    /// The time that has come.
    TimePoint now() const { return now_; }

    /// Calls `function` after `delay`. Precondition: `delay` is not negative.
    void after(Duration delay, std::function<void()> function) { events_.push({ now_ + delay, nextEvent_++, std::move(function) }); }

    /// Calls `function` each `period` until the end of the run.
    void every(Duration period, const std::function<void()>& function)
    {
        after(period, [=, this] {
            function();
            every(period, function);
        });
    }

    /// Lets time pass up to `end`.
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

    // Far from the clock's own zero, which stands for "never" in places.
    TimePoint now_ { std::chrono::hours(1) };
    std::priority_queue<Event> events_;
    std::uint64_t nextEvent_ { 0 };
};

} // namespace Ibisturn::Model
