#pragma once

#include <LibCore/Clock.h>
#include <LibDecision/Allowance/TokenBucket.h>

namespace Ibisturn {

/// The tokens per second requested by callers, as an exponentially weighted moving average.
/// Thread safety: one thread at a time.
class DemandEstimate {
public:
    /// Adds a request for `amount` tokens; a negative amount corrects for tokens that a request did not use.
    void add(TokenAmount amount, TimePoint now);

    /// The estimate at `now`.
    TokensPerSecond at(TimePoint now) const;

private:
    double rate_ { 0 };
    TimePoint updatedAt_;
};

} // namespace Ibisturn
