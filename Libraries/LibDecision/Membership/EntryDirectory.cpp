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
