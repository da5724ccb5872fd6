#pragma once

#include <LibCore/Clock.h>

namespace Ibisturn {

/// A clock that only changes through advance(), for tests, scenarios and benchmarks.
class ManualClock final : public Clock {
public:
    /// The current time of this clock. Thread safety: one thread.
    TimePoint now() const override { return now_; }

    /// Advances the time by `step`. Precondition: `step` is not negative. Thread safety: one thread.
    void advance(Duration step) { now_ += step; }

private:
    TimePoint now_ {};
};

} // namespace Ibisturn
