#pragma once

#include <LibCore/Clock.h>

namespace Ibisturn {

/// The machine's monotonic clock.
class SteadyClock final : public Clock {
public:
    /// The monotonic time. Thread safety: any thread.
    TimePoint now() const override
    {
        return TimePoint(std::chrono::steady_clock::now().time_since_epoch());
    }
};

} // namespace Ibisturn
