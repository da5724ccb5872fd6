#pragma once

#include <LibCore/Clock.h>

namespace Ibisturn {

/// A clock that moves only when told to, for tests, scenarios and benchmarks.
class ManualClock final : public Clock {
public:
    /// The time set last. Thread safety: one thread.
    TimePoint now() const override { return now_; }

    /// Moves the time forward. Precondition: `step` is not negative. Thread safety: one thread.
    void advance(Duration step) { now_ += step; }

private:
    TimePoint now_ {};
};

} // namespace Ibisturn
