#pragma once

#include <LibConfiguration/Snapshot.h>
#include <LibDecision/Membership/MembershipView.h>

#include <vector>

namespace Ibisturn {

/// The score of `candidate` for `subject` in rendezvous hashing: the highest one is chosen, and when a
/// candidate goes, only its own subjects move. Thread safety: any thread.
std::uint64_t rendezvousScore(std::string_view subject, std::string_view candidate);

/// The instances that callers of `workspace` should use, best first: only in permitted regions, none that
/// leaves, suspected ones last, those of the region `near` first, and in a steady order for a workspace.
/// Thread safety: any thread.
std::vector<Member> entriesFor(const Snapshot& snapshot, const MembershipView& membership, const WorkspaceId& workspace, const RegionId& near);

} // namespace Ibisturn
