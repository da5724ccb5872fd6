#pragma once

#include <LibCore/Clock.h>

#include <ctime>

namespace Ibisturn {

/// The machine's monotonic clock. It goes on while the machine is suspended, so that what was granted for a time ends.
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
