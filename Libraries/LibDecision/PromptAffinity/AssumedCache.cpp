#include <LibDecision/PromptAffinity/AssumedCache.h>

#include <algorithm>
#include <cmath>

namespace Ibisturn {

namespace {

/// Weight of one answer that shows that the assumption was wrong or right.
constexpr double gain = 0.2;
/// Reading fewer tokens than this takes is within the noise of the times that servers need.
constexpr Duration minAssumedTime = std::chrono::milliseconds(10);

double seconds(Duration duration)
{
    return std::chrono::duration<double>(duration).count();
}

} // namespace

double AssumedCache::share(TimePoint now)
{
    if (isRestarted_)
        restartedAt_ = now;
    isRestarted_ = false;
    const auto filled = std::clamp(seconds(now - std::max(coldUntil_, restartedAt_)) / seconds(fillTime), 0.0, 1.0);
    return usualShare * filled * trust(now);
}

void AssumedCache::onAnswer(TimePoint now, Duration late, Duration assumedTime)
{
    if (assumedTime < minAssumedTime)
        return;
    const double evidence = late * 2 >= assumedTime ? 0 : 1;
    const auto before = trust(now);
    trust_ = before + (evidence - before) * gain;
    trustChangedAt_ = now;
}

double AssumedCache::trust(TimePoint now) const
{
    const auto age = std::max(now - trustChangedAt_, Duration::zero());
    return 1 - (1 - trust_) * std::exp2(-seconds(age) / seconds(recoveryHalfLife));
}

} // namespace Ibisturn
