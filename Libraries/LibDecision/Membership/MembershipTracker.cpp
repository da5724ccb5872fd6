#include <LibDecision/Membership/MembershipTracker.h>

#include <algorithm>
#include <utility>

namespace Ibisturn {

namespace {

/// The duration of a suspicion doubles with each consecutive failure to answer.
constexpr Duration initialSuspicion = std::chrono::seconds(2);
constexpr std::uint32_t maxDoublings = 4;
constexpr Duration maxTickGap = std::chrono::seconds(3);
/// For how long an instance that leaves may be away, if it is restarted: a grace period for its requests, and its start.
constexpr Duration maxRestartTime = std::chrono::seconds(15);

} // namespace

void MembershipTracker::onLiveList(MembershipView list)
{
    list_ = std::move(list);
    std::erase_if(evidence_, [this](const auto& entry) { return !list_.find(entry.first); });
    for (const auto& member : list_.instances) {
        auto& evidence = evidence_[member.id];
        // A new entry of another process supersedes what the earlier one announced.
        if (member.incarnation != evidence.listed && member.incarnation != evidence.incarnation)
            evidence = Evidence { member.incarnation, MemberState::Live, {}, {}, {}, 0 };
        evidence.listed = member.incarnation;
        if (member.state != MemberState::Leaving)
            evidence.leavingByList.reset();
        else if (!evidence.leavingByList)
            evidence.leavingByList = evidence.incarnation;
    }
}

void MembershipTracker::onAnnouncement(const InstanceId& instance, Incarnation incarnation, MemberState state)
{
    if (!list_.find(instance))
        return;
    auto& evidence = evidence_[instance];
    if (evidence.incarnation != incarnation) {
        // If nothing was received from the instance before, the list may refer to this incarnation.
        const bool isFirst = evidence.incarnation == Incarnation();
        const auto leavingByList = isFirst && evidence.leavingByList ? std::optional(incarnation) : evidence.leavingByList;
        evidence = Evidence { incarnation, MemberState::Live, leavingByList, evidence.listed, {}, 0 };
    }
    // Leaving is final for an incarnation; a delayed earlier heartbeat must not revert it.
    if (evidence.announced != MemberState::Leaving)
        evidence.announced = state;
}

void MembershipTracker::onReachability(TimePoint now, const InstanceId& instance, Reachability reachability)
{
    if (!list_.find(instance))
        return;
    auto& evidence = evidence_[instance];
    if (reachability == Reachability::Reachable) {
        evidence.suspectedUntil.reset();
        evidence.failures = 0;
        return;
    }
    // Failures during a suspicion count once, since concurrent calls fail together.
    if (evidence.suspectedUntil && now < *evidence.suspectedUntil)
        return;
    evidence.suspectedUntil = now + initialSuspicion * (1 << std::min(evidence.failures, maxDoublings));
    ++evidence.failures;
}

void MembershipTracker::tick(TimePoint now)
{
    const bool wasSuspended = lastTick_ && now - *lastTick_ > maxTickGap;
    lastTick_ = now;
    for (const auto& member : view(now).instances) {
        if (member.state == MemberState::Leaving)
            restartingUntil_[member.region] = now + maxRestartTime;
    }
    if (!settledFrom_ || wasSuspended)
        settledFrom_ = now + maxRestartTime;
    if (!wasSuspended)
        return;
    for (auto& [instance, evidence] : evidence_) {
        evidence.suspectedUntil.reset();
        evidence.failures = 0;
    }
}

MembershipView MembershipTracker::view(TimePoint now) const
{
    MembershipView view = list_;
    for (auto& member : view.instances) {
        const auto found = evidence_.find(member.id);
        if (found == evidence_.end())
            continue;
        const auto& evidence = found->second;
        const bool isLeaving = evidence.announced == MemberState::Leaving || evidence.leavingByList == evidence.incarnation;
        member.state = isLeaving ? MemberState::Leaving : MemberState::Live;
        if (member.state == MemberState::Live && evidence.suspectedUntil && now < *evidence.suspectedUntil)
            member.state = MemberState::Suspected;
    }
    for (const auto& [region, until] : restartingUntil_) {
        if (now < until)
            view.restartingRegions.insert(region);
    }
    view.isSettled = settledFrom_ && now >= *settledFrom_;
    return view;
}

} // namespace Ibisturn
