#pragma once

#include <LibCore/Clock.h>

#include <ctime>

namespace Ibisturn {

/// The system's monotonic clock. It includes time in suspend, so that leases and other time limits expire on schedule.
class SteadyClock final : public Clock {
public:
    /// The monotonic time. Thread safety: any thread.
    TimePoint now() const override
    {
        timespec time {};
        clock_gettime(CLOCK_BOOTTIME, &time);
        return TimePoint(std::chrono::seconds(time.tv_sec) + std::chrono::nanoseconds(time.tv_nsec));
    }
};

} // namespace Ibisturn
