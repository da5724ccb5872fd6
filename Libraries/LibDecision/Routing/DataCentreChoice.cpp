#include <LibDecision/Routing/DataCentreChoice.h>

namespace Ibisturn {

namespace {

bool isReadyFor(TimePoint now, const DataCentreCandidate& candidate, const SpillPolicy& policy, double rampSample)
{
    if (!candidate.recoveredAt)
        return true;
    const auto elapsed = now - *candidate.recoveredAt;
    return rampSample < static_cast<double>(elapsed.count()) / static_cast<double>(policy.recoveryRamp.count());
}

// The wait there, the round trip over the link, and the minimum gain.
Duration totalWait(const DataCentreCandidate& candidate, const SpillPolicy& policy)
{
    return candidate.expectedWait + 2 * candidate.oneWayLatency + policy.minGain;
}

} // namespace

std::size_t chooseDataCentre(TimePoint now, std::span<const DataCentreCandidate> candidates, const SpillPolicy& policy, double rampSample)
{
    const auto& home = candidates.front();
    const bool isHomeReady = isReadyFor(now, home, policy, rampSample);
    std::size_t best = 0;
    std::optional<Duration> bestWait;
    if (isHomeReady)
        bestWait = home.expectedWait;
    for (std::size_t index = 1; index < candidates.size(); ++index) {
        const auto& candidate = candidates[index];
        if (candidate.linkUtilisation > policy.maxLinkUtilisation || !isReadyFor(now, candidate, policy, rampSample))
            continue;
        const auto wait = totalWait(candidate, policy);
        if (!bestWait || wait < *bestWait) {
            best = index;
            bestWait = wait;
        }
    }
    return best;
}

} // namespace Ibisturn
