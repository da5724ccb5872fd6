#include "FleetControlPlane.h"

#include <LibCore/RandomIdentity.h>
#include <LibCore/SteadyClock.h>
#include <LibDecision/Routing/HeadDecision.h>
#include <LibPeer/Hello.h>

#include <algorithm>
#include <utility>

namespace Ibisturn {

namespace {

constexpr Log fleetLog("fleet");
constexpr Duration writeTimeout = std::chrono::seconds(2);
/// Minimum time between two writes of the fleet size to the store.
constexpr Duration fleetSizeWritePeriod = std::chrono::seconds(2);
constexpr Duration membershipPeriod = std::chrono::milliseconds(250);
/// Loads of the same region are outdated after a few requests; those of other regions are a round trip old in any case.
/// Two periods plus a round trip must be shorter than the silence after which an allowance is shared evenly.
constexpr StatusIntervalLimits ownRegionStatusInterval { std::chrono::milliseconds(100), 8, std::chrono::milliseconds(400) };
constexpr StatusIntervalLimits otherRegionsStatusInterval { std::chrono::milliseconds(200), 16, std::chrono::milliseconds(450) };

RemovalLimits removalLimits(const FleetSettings& fleet)
{
    // A leaving backend server keeps serving for its drain time. The time that the change needs to arrive, and a request to
    // be sent, is subtracted from it.
    constexpr Duration propagationDelay = std::chrono::milliseconds(1000);
    RemovalLimits limits;
    limits.removalGrace = std::clamp<Duration>(fleet.backendDrainPeriod - propagationDelay, Duration::zero(), limits.recoveryGrace);
    return limits;
}

} // namespace

FleetControlPlane::FleetControlPlane(Asio::io_context& context, InstanceTables& tables, StoreClient& store, const DocumentReader& reader)
    : context_(context)
    , tables_(tables)
    , store_(store)
    , fleetState_(reader, tables.settings.storePrefix, removalLimits(*tables.settings.fleet))
    , lease_(store, instancesPrefixOf(tables.settings.storePrefix), self())
    , links_(context, makeHelloMessage(tables.settings.identity), { tables.settings.connectTimeout, writeTimeout, tables.settings.idleTimeout }, *this)
    , incarnation_(generateIncarnation())
{
    for (const auto& prefix : fleetState_.prefixes()) {
        EntryFollower::Callbacks callbacks;
        callbacks.onListing = [this](const EntryFollower::Listing& listing) { fleetState_.onListing(SteadyClock().now(), listing); };
        callbacks.onChanges = [this](const std::vector<RecordChange>& changes) { fleetState_.onChanges(SteadyClock().now(), changes); };
        callbacks.onUnavailable = [this] { fleetState_.onStoreUnavailable(SteadyClock().now()); };
        callbacks.onAvailable = [this] { fleetState_.onStoreAvailable(SteadyClock().now()); };
        followers_.push_back(std::make_unique<EntryFollower>(store, prefix, std::move(callbacks)));
    }
}

void FleetControlPlane::start()
{
    for (const auto& follower : followers_)
        Asio::co_spawn(context_, follower->run(), Asio::detached);
    Asio::co_spawn(context_, lease_.run(), Asio::detached);
}

void FleetControlPlane::tick(TimePoint now)
{
    fleetState_.advance(now);
    tables_.storeUnavailableSince = fleetState_.unavailableSince();
    applyConfiguration();
    applyServers();
    applyMembership(now);
    sendPeerStatus(now);
}

void FleetControlPlane::reload(const FleetSettings& fleet)
{
    fleetState_.setLimits(removalLimits(fleet));
    tables_.serviceRetries.setLimits(retryLimitsOf(fleet));
    tables_.allowance.setLimits(allowanceLimitsOf(fleet));
}

Task<void> FleetControlPlane::leave()
{
    nextMembershipUpdate_ = {};
    nextOwnRegionStatus_ = {};
    nextOtherRegionsStatus_ = {};
    tick(SteadyClock().now());
    co_await lease_.leave();
}

bool FleetControlPlane::isReady() const
{
    return tables_.configuration.get() && fleetState_.isComplete() && !tables_.isDraining;
}

std::vector<Member> FleetControlPlane::entries(std::string_view host, const CallerLocation& caller) const
{
    const auto membership = tables_.membership.get();
    if (!membership)
        return {};
    // Until a configuration is known, any region may be outside the home regions of the host's requests, so none is treated
    // as a home region.
    const auto homeRegions = appliedSnapshot_ ? homeRegionsOfHost(*appliedSnapshot_, host) : std::vector<RegionId>();
    return entriesNear(*membership, caller, homeRegions);
}

Task<std::vector<PeerAction>> FleetControlPlane::receive(InstanceId from, ControlEvent event)
{
    if (const auto* status = std::get_if<PeerStatus>(&event))
        co_return onPeerStatus(SteadyClock().now(), from, *status);
    co_return std::vector<PeerAction>();
}

std::vector<PeerAction> FleetControlPlane::onPeerStatus(TimePoint now, const InstanceId& from, const PeerStatus& status)
{
    tracker_.onAnnouncement(from, status.incarnation, status.state);
    tracker_.onReachability(now, from, Reachability::Reachable);
    if (status.state == MemberState::Live)
        fleetState_.onPeerMessage(now, from);
    const auto membership = tables_.membership.get();
    const auto* member = membership ? membership->find(from) : nullptr;
    if (member && member->state != status.state && status.state == MemberState::Leaving)
        nextMembershipUpdate_ = {};
    tables_.allowance.onDemandReport(now, from, status.demands, status.lastReceivedAgo, status.uptime);
    if (member && audienceOf(member->region) == Audience::OwnRegion)
        tables_.placement.with([&](PlacementTable& table) { table.onPeerLoad(now, from, status.loads); });
    else if (member)
        tables_.placement.with([&](PlacementTable& table) { table.onWaitEstimates(now, member->region, status.waitEstimates); });
    if (status.storeView) {
        const auto isOlder = [](const RecordChange& left, const RecordChange& right) { return left.revision < right.revision; };
        const auto newest = std::max_element(status.changes.begin(), status.changes.end(), isOlder);
        if (newest != status.changes.end())
            fleetLog.info("Changes received from a peer.", { { "peer", from }, { "changes", status.changes.size() }, { "newest", newest->revision }, { "settled", *status.storeView == StoreView::Complete } });
        fleetState_.onPeerChanges(now, status.changes, *status.storeView);
    }
    if (status.requestAfter.empty())
        return {};
    // An instance that was unreachable for long may no longer be a member when it requests updates again.
    PeerStatus answer = peerStatusFor(now, member ? audienceOf(member->region) : Audience::OtherRegions);
    answer.lastReceivedAgo = tables_.allowance.timeSinceReport(now, from);
    answer.changes = fleetState_.changesAfter(status.requestAfter);
    answer.storeView = fleetState_.view(now);
    return { SendPeerStatus { from, std::move(answer) } };
}

void FleetControlPlane::applyConfiguration()
{
    // Without the registry, every request would be refused because no backend server is known.
    if (appliedSnapshot_ == fleetState_.snapshot() || !fleetState_.isComplete())
        return;
    appliedSnapshot_ = fleetState_.snapshot();
    appliedRegistryVersion_ = 0;
    tables_.configuration.set(appliedSnapshot_);
    if (fleetState_.callerLimits())
        tables_.callerLimits = *fleetState_.callerLimits();
}

void FleetControlPlane::applyServers()
{
    const auto version = fleetState_.registry().version();
    if (!appliedSnapshot_ || version == appliedRegistryVersion_)
        return;
    appliedRegistryVersion_ = version;
    const auto servers = fleetState_.registry().usable();
    tables_.placement.with([&](PlacementTable& table) { table.setServers(servers, *appliedSnapshot_); });
}

void FleetControlPlane::applyMembership(TimePoint now)
{
    if (now < nextMembershipUpdate_)
        return;
    nextMembershipUpdate_ = now + membershipPeriod;
    for (const auto& observation : tables_.peerReachability.take())
        tracker_.onReachability(now, observation.instance, observation.reach);
    MembershipView list;
    list.instances = fleetState_.members();
    const auto own = self();
    std::erase_if(list.instances, [&own](const Member& member) { return member.id == own.id; });
    list.instances.push_back(own);
    std::sort(list.instances.begin(), list.instances.end(), [](const Member& left, const Member& right) { return left.id < right.id; });
    tracker_.onLiveList(std::move(list));
    tracker_.tick(now);
    auto view = tracker_.view(now);
    std::vector<InstanceId> inRegion;
    for (auto& member : view.instances) {
        if (member.id == own.id)
            member.state = own.state;
        if (member.region == own.region && member.state != MemberState::Leaving)
            inRegion.push_back(member.id);
    }
    tables_.placement.with([&](PlacementTable& table) { table.setInstances(own.id, inRegion); });
    const auto size = std::max(view.instances.size(), fleetState_.fleetSize());
    tables_.serviceRetries.setInstances(size);
    tables_.allowance.setInstanceCount(size);
    if (view.instances.size() > fleetState_.fleetSize() && view.instances.front().id == own.id && now >= nextFleetSizeWrite_) {
        nextFleetSizeWrite_ = now + fleetSizeWritePeriod;
        Asio::co_spawn(context_, storeFleetSize(size), Asio::detached);
    }
    setGauges(now, view);
    tables_.membership.set(std::make_shared<const MembershipView>(std::move(view)));
}

void FleetControlPlane::setGauges(TimePoint now, const MembershipView& view)
{
    const auto isLive = [](const Member& member) { return member.state == MemberState::Live; };
    const auto live = std::count_if(view.instances.begin(), view.instances.end(), isLive);
    const auto& unavailableSince = fleetState_.unavailableSince();
    auto& metrics = tables_.metrics;
    metrics.set("ibisturn_instances_live", static_cast<double>(live));
    metrics.set("ibisturn_backend_servers_usable", static_cast<double>(fleetState_.registry().usable().size()));
    metrics.set("ibisturn_configuration_revision", appliedSnapshot_ ? static_cast<double>(appliedSnapshot_->revision().count()) : 0);
    metrics.set("ibisturn_store_away_seconds", unavailableSince ? std::chrono::duration<double>(now - *unavailableSince).count() : 0);
}

void FleetControlPlane::sendPeerStatus(TimePoint now)
{
    const auto membership = tables_.membership.get();
    if (!membership)
        return;
    std::vector<const Member*> others;
    for (const auto& member : membership->instances) {
        if (member.id != tables_.settings.identity.instance)
            others.push_back(&member);
    }
    const auto isInOwnRegion = [this](const Member* member) { return audienceOf(member->region) == Audience::OwnRegion; };
    const auto ownRegionCount = static_cast<std::size_t>(std::count_if(others.begin(), others.end(), isInOwnRegion));
    const bool isOwnRegionDue = now >= nextOwnRegionStatus_;
    const bool isOtherRegionsDue = now >= nextOtherRegionsStatus_;
    if (isOwnRegionDue)
        nextOwnRegionStatus_ = now + statusInterval(ownRegionStatusInterval, ownRegionCount);
    if (isOtherRegionsDue)
        nextOtherRegionsStatus_ = now + statusInterval(otherRegionsStatusInterval, others.size() - ownRegionCount);
    const auto updateSources = updateRequests_.next(now, fleetState_.isStoreUnavailable(now), others);
    std::optional<PeerStatus> ownRegionStatus;
    std::optional<PeerStatus> otherRegionsStatus;
    for (const auto* member : others) {
        const bool isUpdateRequested = std::find(updateSources.begin(), updateSources.end(), member->id) != updateSources.end();
        if (!isUpdateRequested && !(isInOwnRegion(member) ? isOwnRegionDue : isOtherRegionsDue))
            continue;
        auto& shared = isInOwnRegion(member) ? ownRegionStatus : otherRegionsStatus;
        if (!shared)
            shared = peerStatusFor(now, audienceOf(member->region));
        PeerStatus status = *shared;
        status.lastReceivedAgo = tables_.allowance.timeSinceReport(now, member->id);
        if (isUpdateRequested)
            status.requestAfter = fleetState_.positions();
        links_.send(*member, toPeerMessage(SendPeerStatus { member->id, std::move(status) }));
    }
}

// Instances that start together after the whole fleet was stopped divide the allowance by the stored size, though each of
// them sees few others yet.
Task<void> FleetControlPlane::storeFleetSize(std::size_t size)
{
    try {
        std::vector<StoreWrite> writes;
        writes.push_back({ fleetSizeKeyOf(tables_.settings.storePrefix), std::to_string(size), std::nullopt, std::nullopt });
        co_await store_.transact(std::move(writes));
    } catch (const std::exception& error) {
        fleetLog.warning("Fleet size not stored.", { { "size", size }, { "reason", error.what() } });
    }
}

FleetControlPlane::Audience FleetControlPlane::audienceOf(const RegionId& region) const
{
    return region == tables_.settings.identity.region ? Audience::OwnRegion : Audience::OtherRegions;
}

PeerStatus FleetControlPlane::peerStatusFor(TimePoint now, Audience audience) const
{
    PeerStatus status;
    status.incarnation = incarnation_;
    status.state = self().state;
    status.uptime = tables_.allowance.uptime(now);
    status.demands = tables_.allowance.demands(now);
    if (audience == Audience::OwnRegion)
        tables_.placement.with([&](PlacementTable& table) { status.loads = table.ownLoads(); });
    else
        tables_.placement.with([&](PlacementTable& table) { status.waitEstimates = table.waitEstimates(now); });
    return status;
}

Member FleetControlPlane::self() const
{
    const auto& settings = tables_.settings;
    const auto state = tables_.isDraining ? MemberState::Leaving : MemberState::Live;
    return { settings.identity.instance, settings.identity.region, settings.identity.dataCentre, settings.callersListen, settings.peersListen, state };
}

} // namespace Ibisturn
