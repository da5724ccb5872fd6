#include <LibDecision/Membership/EntryDirectory.h>

#include <LibDecision/Routing/HeadDecision.h>

#include <algorithm>
#include <functional>
#include <tuple>
#include <utility>

#include <xxhash.h>

namespace Ibisturn {

std::uint64_t rendezvousScore(std::string_view subject, std::string_view candidate)
{
    const auto seed = XXH64(subject.data(), subject.size(), 0);
    return XXH64(candidate.data(), candidate.size(), seed);
}

namespace {

constexpr std::size_t forwardingEntriesPerRegion = 4;
/// A region is good for a host if at most one in so many of its requests with home regions may not run there.
constexpr std::size_t homeRegionShare = 20;

/// Live members rank above suspected ones.
std::pair<bool, std::uint64_t> rankOf(const Member& member, std::string_view subject)
{
    return { member.state == MemberState::Live, rendezvousScore(subject, member.id.value()) };
}

} // namespace

const Member* findMember(const MembershipView& membership, std::uint64_t requestHash, const std::function<bool(const Member&)>& isCandidate)
{
    const Member* best = nullptr;
    std::pair<bool, std::uint64_t> bestRank;
    const auto subject = std::to_string(requestHash);
    for (const auto& member : membership.instances) {
        if (!isCandidate(member))
            continue;
        const auto rank = rankOf(member, subject);
        if (best && rank <= bestRank)
            continue;
        best = &member;
        bestRank = rank;
    }
    return best;
}

std::vector<const Member*> forwardingEntries(const MembershipView& membership, const InstanceId& self, const RegionId& region)
{
    std::vector<std::pair<std::pair<bool, std::uint64_t>, const Member*>> ranked;
    for (const auto& member : membership.instances) {
        if (member.region == region && member.state != MemberState::Leaving)
            ranked.emplace_back(rankOf(member, self.value()), &member);
    }
    const auto count = std::min(ranked.size(), forwardingEntriesPerRegion);
    std::partial_sort(ranked.begin(), ranked.begin() + static_cast<std::ptrdiff_t>(count), ranked.end(), std::greater<>());
    std::vector<const Member*> entries;
    for (std::size_t index = 0; index < count; ++index)
        entries.push_back(ranked[index].second);
    return entries;
}

const Member* findForwardingEntry(const MembershipView& membership, const InstanceId& self, const RegionId& region, std::uint64_t requestHash)
{
    const auto entries = forwardingEntries(membership, self, region);
    const auto subject = std::to_string(requestHash);
    const auto isWorse = [&subject](const Member* left, const Member* right) { return rankOf(*left, subject) < rankOf(*right, subject); };
    const auto best = std::max_element(entries.begin(), entries.end(), isWorse);
    return best == entries.end() ? nullptr : *best;
}

const Member* findEntry(const MembershipView& membership, const RegionId& region, std::uint64_t requestHash)
{
    return findMember(membership, requestHash, [&region](const Member& member) { return member.state != MemberState::Leaving && member.region == region; });
}

namespace {

/// How close an instance is to a caller, from best to worst; suspected instances rank below live ones. In regions that some routes don't
/// permit, they come before live ones that fewer routes permit.
enum class EntryRank {
    DataCentre,
    Region,
    HomeRegion,
    SuspectedInDataCentre,
    SuspectedInRegion,
    SuspectedInHomeRegion,
    OtherRegion,
};

/// The rank, and among other regions the weight of the routes that don't permit the instance's region and whether it is suspected; the lowest
/// is best.
using EntryOrder = std::tuple<EntryRank, std::size_t, bool>;

/// The weight of the routes with home regions that permit `region`.
std::size_t permitsOf(const HostRegions& regions, const RegionId& region)
{
    const auto found = regions.permittedBy.find(region);
    return found == regions.permittedBy.end() ? 0 : found->second;
}

EntryOrder orderOf(const Member& member, const CallerLocation& caller, const HostRegions& regions)
{
    const bool isSuspected = member.state == MemberState::Suspected;
    if (member.dataCentre == caller.dataCentre)
        return { isSuspected ? EntryRank::SuspectedInDataCentre : EntryRank::DataCentre, 0, false };
    if (member.region == caller.region)
        return { isSuspected ? EntryRank::SuspectedInRegion : EntryRank::Region, 0, false };
    const auto refusedBy = regions.weight - permitsOf(regions, member.region);
    if (refusedBy * homeRegionShare <= regions.weight)
        return { isSuspected ? EntryRank::SuspectedInHomeRegion : EntryRank::HomeRegion, 0, false };
    return { EntryRank::OtherRegion, refusedBy, isSuspected };
}

/// Whether a caller should rather wait than use `region`, because instances of its own region, or of one that suits the host's routes better,
/// may be back shortly. Precondition: these regions have no instance that the caller could use.
bool isBetterRegionRestarting(const MembershipView& membership, const CallerLocation& caller, const HostRegions& regions, const RegionId& region)
{
    const auto isRestarting = [&membership](const RegionId& other) { return !membership.isSettled || membership.restartingRegions.contains(other); };
    if (isRestarting(caller.region))
        return true;
    const auto permits = permitsOf(regions, region);
    return std::any_of(regions.permittedBy.begin(), regions.permittedBy.end(), [&](const auto& other) { return other.second > permits && isRestarting(other.first); });
}

} // namespace

std::vector<Member> entriesNear(const MembershipView& membership, const CallerLocation& caller, const HostRegions& regions)
{
    std::vector<Member> entries;
    std::optional<EntryOrder> best;
    for (const auto& member : membership.instances) {
        if (member.state == MemberState::Leaving)
            continue;
        const auto order = orderOf(member, caller, regions);
        if (best && order > *best)
            continue;
        if (!best || order < *best)
            entries.clear();
        best = order;
        entries.push_back(member);
    }
    if (best && std::get<EntryRank>(*best) == EntryRank::OtherRegion && isBetterRegionRestarting(membership, caller, regions, entries.front().region))
        return {};
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
