#include <LibDecision/Requests/ShutdownSchedule.h>

#include <algorithm>

namespace Ibisturn {

namespace {

/// For callers with a cached answer of the directory.
constexpr Duration maxAcceptingTime = std::chrono::milliseconds(2500);
/// A request that is accepted last has at least twice as long to finish.
constexpr int acceptingDivisor = 3;
constexpr Duration maxAbortReserve = std::chrono::milliseconds(900);
/// A short grace is used for requests rather than for aborting them.
constexpr int abortDivisor = 8;

} // namespace

ShutdownSchedule::ShutdownSchedule(TimePoint start, Duration grace)
    : refuseFrom_(start + std::min(maxAcceptingTime, grace / acceptingDivisor))
    , abortAt_(start + grace - std::min(maxAbortReserve, grace / abortDivisor))
{
}

} // namespace Ibisturn
