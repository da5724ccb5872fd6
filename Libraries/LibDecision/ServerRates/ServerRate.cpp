#include <LibDecision/ServerRates/ServerRate.h>

#include <algorithm>
#include <cmath>

namespace Ibisturn {

namespace {

/// Weights of the newest sample. The lasting factor outlives slow spells; slowness follows within a few answers.
constexpr double lastingGain = 0.03;
constexpr double slownessGain = 0.2;
/// Lasting differences between the machines of one service are smaller than what a spell or a fault may cause.
constexpr double minLasting = 0.5;
constexpr double maxLasting = 2;
constexpr double percentOfUsual = 100;

double seconds(Duration duration)
{
    return std::chrono::duration<double>(duration).count();
}

/// A factor that approaches 1 as it ages.
double faded(double factor, Duration age, Duration halfLife)
{
    return 1 + (factor - 1) * std::exp2(-seconds(std::max(age, Duration::zero())) / seconds(halfLife));
}

} // namespace

void ServerRate::onSample(TimePoint now, double ratio, double serviceRatio)
{
    // The report of a spell explains its share of the measured time; only the rest says something about the server.
    const auto withoutSpell = std::clamp(ratio / pace(now), minFactor, maxFactor);
    const auto lastingBefore = lastingFactor(now);
    const auto slowdown = std::clamp(withoutSpell / lastingBefore, minFactor, maxFactor);
    const auto before = slowness(now);
    slowness_ = before + (slowdown - before) * slownessGain;
    const auto lasting = std::clamp(withoutSpell / serviceRatio, minLasting, maxLasting);
    lasting_ = lastingBefore + (lasting - lastingBefore) * lastingGain;
    sampledAt_ = now;
}

void ServerRate::onPace(TimePoint now, std::uint32_t percent)
{
    if (percent == 0)
        return;
    pace_ = std::clamp(percent / percentOfUsual, minFactor, maxFactor);
    paceReportedAt_ = now;
}

double ServerRate::factor(TimePoint now) const
{
    return std::clamp(lastingFactor(now) * slowness(now) * pace(now), minFactor, maxFactor);
}

double ServerRate::lastingFactor(TimePoint now) const
{
    return faded(lasting_, now - sampledAt_, lastingHalfLife);
}

double ServerRate::slowness(TimePoint now) const
{
    return faded(slowness_, now - sampledAt_, slownessHalfLife);
}

// The older a report, the more likely its spell is over.
double ServerRate::pace(TimePoint now) const
{
    if (!paceReportedAt_ || now - *paceReportedAt_ >= paceLifetime)
        return 1;
    const auto age = std::max(now - *paceReportedAt_, Duration::zero());
    return 1 + (pace_ - 1) * (1 - seconds(age) / seconds(paceLifetime));
}

} // namespace Ibisturn
