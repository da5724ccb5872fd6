#pragma once

#include <LibConfiguration/Snapshot.h>
#include <LibDecision/Membership/MembershipView.h>
#include <LibDecision/Routing/HomeRegions.h>

#include <functional>
#include <optional>
#include <vector>

namespace Ibisturn {

/// The score of `candidate` for `subject` in rendezvous hashing. The candidate with the highest score is chosen, and when a
/// candidate is removed, only the subjects assigned to it move. Thread safety: any thread.
std::uint64_t rendezvousScore(std::string_view subject, std::string_view candidate);

/// One of the instances that `isCandidate` accepts, or null. Suspected instances are used only if there is no other, and
/// `requestHash` selects among equals.
/// Thread safety: any thread.
const Member* findMember(const MembershipView& membership, std::uint64_t requestHash, const std::function<bool(const Member&)>& isCandidate);

/// An instance of `region` that accepts requests, chosen as by findMember(), or null.
/// Thread safety: any thread.
const Member* findEntry(const MembershipView& membership, const RegionId& region, std::uint64_t requestHash);

/// The instances of `region` to which `self` forwards requests and keeps connections open: a few, different ones for each
/// `self`, so that the number of connections does not grow with the fleet. Live ones come first, leaving ones are left out.
/// Thread safety: any thread.
std::vector<const Member*> forwardingEntries(const MembershipView& membership, const InstanceId& self, const RegionId& region);

/// The one of forwardingEntries() for a request, chosen as by findMember(), or null. Thread safety: any thread.
const Member* findForwardingEntry(const MembershipView& membership, const InstanceId& self, const RegionId& region, std::uint64_t requestHash);

/// The location of a caller.
struct CallerLocation {
    RegionId region;
    DataCentreId dataCentre;
};

/// The instances that callers at `caller` should use for a host whose routes permit `regions`. Returns the first of these groups that is
/// not empty: live instances in the caller's data centre, in its region, in the regions that all of the host's routes permit; suspected
/// ones in the same order; and last the live and then the suspected instances of the region that most of the routes with home regions
/// permit, of the one that the next most permit, and so on. Leaving instances are never returned. Nor is this last group while
/// instances of a better region may be back shortly from a planned restart: of the caller's own, if none of these routes permits the group's,
/// or of another one that more of them permit. Callers keep the last answer that they got.
/// Thread safety: any thread.
std::vector<Member> entriesNear(const MembershipView& membership, const CallerLocation& caller, const HostRegions& regions);

/// The instances that callers of `workspace` should use, best first. Only instances in permitted regions that are not
/// leaving; suspected ones last, those in the region `near` first, otherwise in an order that is stable per workspace.
/// Thread safety: any thread.
std::vector<Member> entriesFor(const Snapshot& snapshot, const MembershipView& membership, const WorkspaceId& workspace, const RegionId& near);

} // namespace Ibisturn
