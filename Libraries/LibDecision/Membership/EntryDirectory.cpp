#include <LibDecision/Membership/EntryDirectory.h>

#include <LibDecision/Routing/HeadDecision.h>

#include <algorithm>
#include <optional>

#include <xxhash.h>

namespace Ibisturn {

std::uint64_t rendezvousScore(std::string_view subject, std::string_view candidate)
{
    const auto seed = XXH64(subject.data(), subject.size(), 0);
    return XXH64(candidate.data(), candidate.size(), seed);
}

const Member* findEntry(const MembershipView& membership, const RegionId& region, std::uint64_t spread)
{
    const Member* best = nullptr;
    std::pair<bool, std::uint64_t> bestRank;
    const auto subject = std::to_string(spread);
    for (const auto& member : membership.instances) {
        if (member.state == MemberState::Leaving || member.region != region)
            continue;
        const std::pair rank(member.state == MemberState::Live, rendezvousScore(subject, member.id.value()));
        if (best && rank <= bestRank)
            continue;
        best = &member;
        bestRank = rank;
    }
    return best;
}

std::vector<Member> entriesNear(const MembershipView& membership, const RegionId& region, const DataCentreId& dataCentre)
{
    const auto distanceOf = [&](const Member& member) {
        constexpr int suspicion = 4;
        const int distance = member.dataCentre == dataCentre ? 0 : member.region == region ? 1
                                                                                           : 2;
        return distance + (member.state == MemberState::Suspected ? suspicion : 0);
    };
    std::vector<Member> entries;
    std::optional<int> nearest;
    for (const auto& member : membership.instances) {
        if (member.state == MemberState::Leaving)
            continue;
        const auto distance = distanceOf(member);
        if (nearest && distance > *nearest)
            continue;
        if (!nearest || distance < *nearest)
            entries.clear();
        nearest = distance;
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
