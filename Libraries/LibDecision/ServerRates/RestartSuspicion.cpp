#include <LibDecision/ServerRates/RestartSuspicion.h>

#include <algorithm>

namespace Ibisturn {

void RestartSuspicion::onConnectionLost(TimePoint now)
{
    // A server that goes on losing connections stays suspected, but does not get a new first request each time.
    if (!isSuspected(now))
        lastSentAt_.reset();
    lostAt_ = now;
    warmAt_.reset();
}

void RestartSuspicion::onAnswerPart(TimePoint now, TimePoint sentAt, Duration coldPeriod)
{
    if (!lostAt_)
        return;
    if (sentAt >= *lostAt_) {
        warmAt_ = std::min(warmAt_.value_or(TimePoint::max()), now + coldPeriod);
        return;
    }
    if (now - *lostAt_ >= livenessMargin)
        lostAt_.reset();
}

void RestartSuspicion::onProcessConfirmed(TimePoint askedAt)
{
    if (lostAt_ && askedAt > *lostAt_)
        lostAt_.reset();
}

Duration RestartSuspicion::spacing(double rate, std::size_t instances)
{
    return std::chrono::duration_cast<Duration>(std::chrono::duration<double>(static_cast<double>(std::max<std::size_t>(1, instances)) / rate));
}

bool RestartSuspicion::maySend(TimePoint now, double rate, std::size_t rank, std::size_t instances) const
{
    const auto period = spacing(rate, instances);
    if (lastSentAt_)
        return now - *lastSentAt_ >= period;
    const auto count = static_cast<std::int64_t>(std::max<std::size_t>(1, instances));
    return !lostAt_ || now - *lostAt_ >= period * static_cast<std::int64_t>(rank) / count;
}

} // namespace Ibisturn
