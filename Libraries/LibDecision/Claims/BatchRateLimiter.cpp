#include <LibDecision/Claims/BatchRateLimiter.h>

#include <algorithm>

namespace Ibisturn {

BatchRateLimiter::BatchRateLimiter(const ClaimLimits& limits)
    : limits_(limits)
    , tokens_(limits.batchBurst)
{
}

bool BatchRateLimiter::tryBeginBatch(TimePoint now)
{
    const std::chrono::duration<double> elapsed = now - refilledAt_;
    refilledAt_ = now;
    tokens_ = std::min(limits_.batchBurst, tokens_ + elapsed.count() * limits_.batchesPerSecond);
    if (tokens_ < 1 || inFlight_ >= limits_.maxBatchesInFlight || now < backoffUntil_)
        return false;
    tokens_ -= 1;
    ++inFlight_;
    return true;
}

} // namespace Ibisturn
