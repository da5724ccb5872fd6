#pragma once

#include <LibConfiguration/Snapshot.h>
#include <LibDecision/Membership/MembershipView.h>

#include <functional>
#include <optional>
#include <vector>

namespace Ibisturn {

/// The score of `candidate` for `subject` in rendezvous hashing: the highest one is chosen, and when a
/// candidate goes, only its own subjects move. Thread safety: any thread.
std::uint64_t rendezvousScore(std::string_view subject, std::string_view candidate);

/// One of the instances that `isCandidate` names, or null; suspected ones come last, and `spread` chooses among the others.
/// Thread safety: any thread.
const Member* findMember(const MembershipView& membership, std::uint64_t spread, const std::function<bool(const Member&)>& isCandidate);

/// An instance of `region` that takes requests, chosen as by findMember(), or null.
/// Thread safety: any thread.
const Member* findEntry(const MembershipView& membership, const RegionId& region, std::uint64_t spread);

/// Where a caller is.
struct CallerPlace {
    RegionId region;
    DataCentreId dataCentre;
};

/// The instances that callers at `caller` should use for a host whose requests have `homes`, or none if they may run
/// anywhere: live ones of the caller's data centre, of its region, of the homes, then suspected ones in the same
/// order, and regions that are neither home nor the caller's only where there is nothing else; none that leaves.
/// Thread safety: any thread.
std::vector<Member> entriesNear(const MembershipView& membership, const CallerPlace& caller, const std::optional<std::vector<RegionId>>& homes);

/// The instances that callers of `workspace` should use, best first: only in permitted regions, none that
/// leaves, suspected ones last, those of the region `near` first, and in a steady order for a workspace.
/// Thread safety: any thread.
std::vector<Member> entriesFor(const Snapshot& snapshot, const MembershipView& membership, const WorkspaceId& workspace, const RegionId& near);

} // namespace Ibisturn
