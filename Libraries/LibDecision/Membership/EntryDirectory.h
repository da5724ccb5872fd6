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
/// not empty: live instances in the caller's data centre, in its region, in the home regions of the host; suspected ones in the same order;
/// and last the live and then the suspected instances of the region that routes of the largest weight permit, of the one with the next
/// largest, and so on. A region counts as a home region of the host if routes of at most a twentieth of the weight do not permit it. Leaving
/// instances are never returned. Nor is this last group while instances of the caller's own region, or of one that routes of a larger weight
/// permit, may be back shortly from a planned restart. Callers keep the last answer that they got.
/// A route without a weight has not been asked for, and does not keep callers with suspected instances of their own region while a region
/// that may run their requests has live ones.
/// Thread safety: any thread.
std::vector<Member> entriesNear(const MembershipView& membership, const CallerLocation& caller, const HostRegions& regions);

/// The instances that callers of `workspace` should use, best first. Only instances in permitted regions that are not
/// leaving; suspected ones last, those in the region `near` first, otherwise in an order that is stable per workspace.
/// Thread safety: any thread.
std::vector<Member> entriesFor(const Snapshot& snapshot, const MembershipView& membership, const WorkspaceId& workspace, const RegionId& near);

} // namespace Ibisturn
