#pragma once

#include <LibConfiguration/Snapshot.h>
#include <LibDecision/Membership/MembershipView.h>

#include <vector>

namespace Ibisturn {

/// The score of `candidate` for `subject` in rendezvous hashing: the highest one is chosen, and when a
/// candidate goes, only its own subjects move. Thread safety: any thread.
std::uint64_t rendezvousScore(std::string_view subject, std::string_view candidate);

/// An instance of `region` that takes requests, or null; suspected ones come last, and `spread` chooses among the others.
/// Thread safety: any thread.
const Member* findEntry(const MembershipView& membership, const RegionId& region, std::uint64_t spread);

/// The instances that callers in `region` and `dataCentre` should use: those of their data centre, or else of their
/// region, or else all; none that leaves, and suspected ones only where there is no other. Thread safety: any thread.
std::vector<Member> entriesNear(const MembershipView& membership, const RegionId& region, const DataCentreId& dataCentre);

/// The instances that callers of `workspace` should use, best first: only in permitted regions, none that
/// leaves, suspected ones last, those of the region `near` first, and in a steady order for a workspace.
/// Thread safety: any thread.
std::vector<Member> entriesFor(const Snapshot& snapshot, const MembershipView& membership, const WorkspaceId& workspace, const RegionId& near);

} // namespace Ibisturn
