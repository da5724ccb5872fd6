#include <LibDecision/Dissemination/CollectorChoice.h>

#include <LibDecision/Membership/EntryDirectory.h>

#include <algorithm>
#include <tuple>

namespace Ibisturn {

namespace {

/// Several periods of reports.
constexpr Duration answerTimeout = std::chrono::milliseconds(700);
constexpr Duration passOverTime = std::chrono::seconds(3);
/// Instances with at least this share of the strongest one's processor time count as equally strong.
constexpr double strongShare = 0.75;

} // namespace

std::vector<InstanceId> rankCollectors(const MembershipView& membership, const RegionId& region)
{
    double strongest = 0;
    for (const auto& member : membership.instances) {
        if (member.region == region && member.state != MemberState::Leaving)
            strongest = std::max(strongest, member.processorShare);
    }
    std::vector<std::tuple<bool, std::uint64_t, InstanceId>> candidates;
    for (const auto& member : membership.instances) {
        if (member.region != region || member.state == MemberState::Leaving)
            continue;
        const bool isWeak = member.processorShare < strongest * strongShare;
        candidates.emplace_back(isWeak, ~rendezvousScore(region.value(), member.id.value()), member.id);
    }
    std::sort(candidates.begin(), candidates.end());
    std::vector<InstanceId> ranked;
    ranked.reserve(candidates.size());
    for (auto& [isWeak, order, id] : candidates)
        ranked.push_back(std::move(id));
    return ranked;
}

void CollectorChoice::setCandidates(std::vector<InstanceId> ranked, std::size_t count)
{
    ranked_ = std::move(ranked);
    count_ = count;
    std::erase_if(states_, [this](const auto& entry) { return std::find(ranked_.begin(), ranked_.end(), entry.first) == ranked_.end(); });
}

std::vector<InstanceId> CollectorChoice::choose(TimePoint now)
{
    std::vector<InstanceId> chosen;
    for (const auto& id : ranked_) {
        if (chosen.size() >= count_)
            break;
        auto& state = states_[id];
        if (state.unansweredSince && now - *state.unansweredSince > answerTimeout) {
            state.unansweredSince.reset();
            state.passedOverUntil = now + passOverTime;
        }
        if (now < state.passedOverUntil)
            continue;
        if (!state.unansweredSince)
            state.unansweredSince = now;
        chosen.push_back(id);
    }
    return chosen;
}

void CollectorChoice::onAnswer(const InstanceId& from)
{
    const auto found = states_.find(from);
    if (found != states_.end())
        found->second = {};
}

} // namespace Ibisturn
