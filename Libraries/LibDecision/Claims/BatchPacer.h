#pragma once

#include <LibDecision/Claims/ClaimLimits.h>

namespace Ibisturn {

/// Says when the next transaction may go to the store: a token bucket, a limit of those in flight, and a pause
/// after one that failed. Thread safety: one thread at a time.
class BatchPacer {
public:
    /// Precondition: none; the bucket starts full.
    explicit BatchPacer(const ClaimLimits& limits);

    /// Whether a transaction may be sent now; if so, it counts as sent. Precondition: `now` does not go backwards.
    bool takeTurn(TimePoint now);

    /// A transaction ended. Precondition: one is in flight.
    void end() { --inFlight_; }

    /// A transaction was refused or lost: the next one waits.
    void pause(TimePoint now) { pausedUntil_ = now + limits_.retryPause; }

private:
    ClaimLimits limits_;
    double tokens_;
    TimePoint refilled_ {};
    TimePoint pausedUntil_ {};
    std::size_t inFlight_ { 0 };
};

} // namespace Ibisturn
