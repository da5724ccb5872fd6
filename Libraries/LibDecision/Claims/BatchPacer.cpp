#include <LibDecision/Claims/BatchPacer.h>

#include <algorithm>

namespace Ibisturn {

BatchPacer::BatchPacer(const ClaimLimits& limits)
    : limits_(limits)
    , tokens_(limits.batchBurst)
{
}

bool BatchPacer::takeTurn(TimePoint now)
{
    const std::chrono::duration<double> elapsed = now - refilled_;
    refilled_ = now;
    tokens_ = std::min(limits_.batchBurst, tokens_ + elapsed.count() * limits_.batchesPerSecond);
    if (tokens_ < 1 || inFlight_ >= limits_.mostBatchesInFlight || now < pausedUntil_)
        return false;
    tokens_ -= 1;
    ++inFlight_;
    return true;
}

} // namespace Ibisturn
