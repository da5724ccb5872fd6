#pragma once

#include <LibDecision/Claims/ClaimLimits.h>

namespace Ibisturn {

/// Limits the rate of transactions to the store: a token bucket, a limit on those in flight, and a backoff after one
/// that failed. Thread safety: one thread at a time.
class BatchRateLimiter {
public:
    /// The bucket starts full.
    explicit BatchRateLimiter(const ClaimLimits& limits);

    /// Returns whether a transaction may be sent now; if so, it is counted as in flight. Precondition: `now` does not go
    /// backwards.
    bool tryBeginBatch(TimePoint now);

    /// Records the end of a transaction. Precondition: one is in flight.
    void endBatch() { --inFlight_; }

    /// Delays the next transaction after one that was refused or whose reply was lost.
    void backOff(TimePoint now) { backoffUntil_ = now + limits_.retryBackoff; }

private:
    ClaimLimits limits_;
    double tokens_;
    TimePoint refilledAt_ {};
    TimePoint backoffUntil_ {};
    std::size_t inFlight_ { 0 };
};

} // namespace Ibisturn
