#pragma once

#include <chrono>

namespace Ibisturn {

using Duration = std::chrono::nanoseconds;

/// Tag type of the monotonic timeline of one process. Time points of different processes are not comparable.
struct MonotonicTimeline {
    using duration = Duration;
    using rep = duration::rep;
    using period = duration::period;
    using time_point = std::chrono::time_point<MonotonicTimeline>;
    static constexpr bool is_steady = true;
};

using TimePoint = MonotonicTimeline::time_point;

/// Source of the current time. Decision code never reads a clock; it receives the time as a parameter of each event.
class Clock {
public:
    virtual ~Clock() = default;

    /// The current time; never decreases. Thread safety: any thread.
    virtual TimePoint now() const = 0;
};

} // namespace Ibisturn
