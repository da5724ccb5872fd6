#pragma once

#include <LibCore/Clock.h>
#include <LibDecision/Allowance/TokenBucket.h>

namespace Ibisturn {

/// The tokens that callers ask for in a second, as an exponentially weighted average.
/// Thread safety: one thread at a time.
class DemandEstimate {
public:
    /// Notes a request for `amount`, or with a negative one, what a request did not use.
    void add(TokenAmount amount, TimePoint now);

    /// The estimate at `now`.
    TokensPerSecond at(TimePoint now) const;

private:
    double rate_ { 0 };
    TimePoint updatedAt_;
};

} // namespace Ibisturn
