#include <LibDecision/Admission/ConcurrencyLimit.h>

#include <algorithm>

namespace Ibisturn {

namespace {

/// An average above this multiple of the floor indicates that the backend server queues requests.
constexpr double congestedMultiple = 2.0;
constexpr double decreaseFactor = 0.9;
/// Weight of the newest sample in the average.
constexpr double averageGain = 0.1;
/// Samples before the average counts as a floor.
constexpr std::uint32_t warmUpSamples = 20;
/// The floor rises by this share per sample.
constexpr double floorDrift = 0.001;
/// A backend server that occasionally queues a single request is busy, not congested.
constexpr std::uint32_t toleratedWaiting = 1;
constexpr Duration reportLifetime = std::chrono::seconds(3);
/// Minimum time between decreases, since requests in flight at the same time report the same congestion.
constexpr Duration minDecreaseInterval = std::chrono::seconds(1);
/// The limit grows only while more than this share of it is in use.
constexpr double minUsedShare = 0.8;

} // namespace

ConcurrencyLimit::ConcurrencyLimit(std::uint32_t initial, std::uint32_t max)
    : limit_(initial)
    , max_(max)
{
}

void ConcurrencyLimit::finish(TimePoint now, Duration timeToFirstToken, std::uint32_t outstanding, ServiceSignal signal)
{
    if (signal == ServiceSignal::Unknown)
        return;
    if (signal == ServiceSignal::Overloaded) {
        decrease(now);
        return;
    }
    recordFirstToken(timeToFirstToken);
    if (isCongested(now)) {
        decrease(now);
        return;
    }
    if (outstanding > limit_ * minUsedShare)
        limit_ = std::min(max_, limit_ + 1.0 / limit_);
}

void ConcurrencyLimit::report(TimePoint now, std::uint32_t waiting)
{
    lastReport_ = now;
    reportedWaiting_ = waiting;
    if (isCongested(now))
        decrease(now);
}

bool ConcurrencyLimit::isCongested(TimePoint now) const
{
    if (lastReport_ && now - *lastReport_ < reportLifetime)
        return reportedWaiting_ > toleratedWaiting;
    return averageSeconds_ > floorSeconds_ * congestedMultiple;
}

void ConcurrencyLimit::recordFirstToken(Duration timeToFirstToken)
{
    const auto seconds = std::chrono::duration<double>(timeToFirstToken).count();
    // Single samples vary with the prompt's length and cache hits; only their average indicates queueing.
    averageSeconds_ = samples_ == 0 ? seconds : averageSeconds_ + averageGain * (seconds - averageSeconds_);
    if (samples_ < warmUpSamples) {
        ++samples_;
        floorSeconds_ = averageSeconds_;
        return;
    }
    // Keep the floor under congestion, otherwise the limit would grow and add to the queue that it is meant to prevent.
    // With a limit of one request, this instance causes no queue, so the average becomes the floor.
    const bool isCongested = averageSeconds_ > floorSeconds_ * congestedMultiple;
    if (isCongested && limit_ > 1)
        return;
    floorSeconds_ = isCongested ? averageSeconds_ : std::min(floorSeconds_ * (1 + floorDrift), averageSeconds_);
}

void ConcurrencyLimit::decrease(TimePoint now)
{
    if (lastDecrease_ != TimePoint {} && now - lastDecrease_ < minDecreaseInterval)
        return;
    lastDecrease_ = now;
    limit_ = std::max(1.0, limit_ * decreaseFactor);
}

} // namespace Ibisturn
