#include <LibDecision/Membership/EntryDirectory.h>

#include <LibDecision/Routing/HeadDecision.h>

#include <algorithm>

#include <xxhash.h>

namespace Ibisturn {

std::uint64_t rendezvousScore(std::string_view subject, std::string_view candidate)
{
    const auto seed = XXH64(subject.data(), subject.size(), 0);
    return XXH64(candidate.data(), candidate.size(), seed);
}

const Member* findMember(const MembershipView& membership, std::uint64_t requestHash, const std::function<bool(const Member&)>& isCandidate)
{
    const Member* best = nullptr;
    std::pair<bool, std::uint64_t> bestRank;
    const auto subject = std::to_string(requestHash);
    for (const auto& member : membership.instances) {
        if (!isCandidate(member))
            continue;
        const std::pair rank(member.state == MemberState::Live, rendezvousScore(subject, member.id.value()));
        if (best && rank <= bestRank)
            continue;
        best = &member;
        bestRank = rank;
    }
    return best;
}

const Member* findEntry(const MembershipView& membership, const RegionId& region, std::uint64_t requestHash)
{
    return findMember(membership, requestHash, [&region](const Member& member) { return member.state != MemberState::Leaving && member.region == region; });
}

namespace {

/// How close an instance is to a caller, from best to worst; suspected instances rank below live ones.
enum class EntryRank {
    DataCentre,
    Region,
    HomeRegion,
    SuspectedInDataCentre,
    SuspectedInRegion,
    SuspectedInHomeRegion,
    OtherRegion,
    SuspectedInOtherRegion,
};

EntryRank rankOf(const Member& member, const CallerLocation& caller, const std::optional<std::vector<RegionId>>& homeRegions)
{
    const bool isSuspected = member.state == MemberState::Suspected;
    if (member.dataCentre == caller.dataCentre)
        return isSuspected ? EntryRank::SuspectedInDataCentre : EntryRank::DataCentre;
    if (member.region == caller.region)
        return isSuspected ? EntryRank::SuspectedInRegion : EntryRank::Region;
    if (!homeRegions || std::find(homeRegions->begin(), homeRegions->end(), member.region) != homeRegions->end())
        return isSuspected ? EntryRank::SuspectedInHomeRegion : EntryRank::HomeRegion;
    return isSuspected ? EntryRank::SuspectedInOtherRegion : EntryRank::OtherRegion;
}

} // namespace

std::vector<Member> entriesNear(const MembershipView& membership, const CallerLocation& caller, const std::optional<std::vector<RegionId>>& homeRegions)
{
    std::vector<Member> entries;
    std::optional<EntryRank> best;
    for (const auto& member : membership.instances) {
        if (member.state == MemberState::Leaving)
            continue;
        const auto rank = rankOf(member, caller, homeRegions);
        if (best && rank > *best)
            continue;
        if (!best || rank < *best)
            entries.clear();
        best = rank;
        entries.push_back(member);
    }
    return entries;
}

std::vector<Member> entriesFor(const Snapshot& snapshot, const MembershipView& membership, const WorkspaceId& workspace, const RegionId& near)
{
    std::vector<Member> entries;
    const auto isEntry = [&](const Member& member) {
        return member.state != MemberState::Leaving && isPermittedRegion(snapshot, workspace, member.region);
    };
    std::copy_if(membership.instances.begin(), membership.instances.end(), std::back_inserter(entries), isEntry);
    const auto isBetter = [&](const Member& left, const Member& right) {
        const bool isLeftSuspected = left.state == MemberState::Suspected;
        const bool isRightSuspected = right.state == MemberState::Suspected;
        if (isLeftSuspected != isRightSuspected)
            return isRightSuspected;
        const bool leftNear = left.region == near;
        const bool rightNear = right.region == near;
        if (leftNear != rightNear)
            return leftNear;
        return rendezvousScore(workspace.value(), left.id.value()) > rendezvousScore(workspace.value(), right.id.value());
    };
    std::sort(entries.begin(), entries.end(), isBetter);
    return entries;
}

} // namespace Ibisturn
