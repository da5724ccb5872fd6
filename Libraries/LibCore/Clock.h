#pragma once

#include <chrono>

namespace Ibisturn {

using Duration = std::chrono::nanoseconds;

/// Tag of the monotonic time line of one process. Its zero has no meaning between processes.
struct MonotonicTimeline {
    using duration = Duration;
    using rep = duration::rep;
    using period = duration::period;
    using time_point = std::chrono::time_point<MonotonicTimeline>;
    static constexpr bool is_steady = true;
};

using TimePoint = MonotonicTimeline::time_point;

/// Source of the current time. Decisions never read one: they are told the time with each event.
class Clock {
public:
    virtual ~Clock() = default;

    /// The current time; never before an earlier answer. Thread safety: any thread.
    virtual TimePoint now() const = 0;
};

} // namespace Ibisturn
