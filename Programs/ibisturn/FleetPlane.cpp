#include "FleetPlane.h"

#include <LibCore/RandomIdentity.h>
#include <LibCore/SteadyClock.h>
#include <LibDecision/Routing/HeadDecision.h>
#include <LibPeer/Hello.h>

#include <algorithm>
#include <utility>

namespace Ibisturn {

namespace {

constexpr Log planeLog("fleet");
constexpr Duration writeTimeout = std::chrono::seconds(2);
/// Minimum time between two writes of the fleet size to the store.
constexpr Duration sizeNotePeriod = std::chrono::seconds(2);
constexpr Duration membershipPeriod = std::chrono::milliseconds(250);
/// Loads of the same region are outdated after a few requests; those of other regions are a round trip old in any case.
/// Two periods plus a round trip must be shorter than the silence after which an allowance is shared evenly.
constexpr NewsPace nearPace { std::chrono::milliseconds(100), 8, std::chrono::milliseconds(400) };
constexpr NewsPace farPace { std::chrono::milliseconds(200), 16, std::chrono::milliseconds(450) };

RemovalLimits removalLimits(const FleetSettings& fleet)
{
    // A leaving backend server keeps serving for its drain time. The time that the change needs to arrive, and a request to
    // be sent, is subtracted from it.
    constexpr Duration arrival = std::chrono::milliseconds(1000);
    RemovalLimits limits;
    limits.removalHold = std::clamp<Duration>(fleet.backendDrain - arrival, Duration::zero(), limits.returnHold);
    return limits;
}

} // namespace

FleetPlane::FleetPlane(Asio::io_context& context, InstanceTables& tables, StoreClient& store, const DocumentReader& reader)
    : context_(context)
    , tables_(tables)
    , store_(store)
    , knowledge_(reader, tables.settings.storePrefix, removalLimits(*tables.settings.fleet))
    , lease_(store, instancesPrefixOf(tables.settings.storePrefix), self())
    , links_(context, helloOf(tables.settings.identity), { tables.settings.connectTimeout, writeTimeout, tables.settings.idleTimeout }, *this)
    , incarnation_(drawIncarnation())
{
    for (const auto& prefix : knowledge_.prefixes()) {
        EntryFollower::Callbacks callbacks;
        callbacks.onListing = [this](const EntryFollower::Listing& listing) { knowledge_.onListing(SteadyClock().now(), listing); };
        callbacks.onChanges = [this](const std::vector<RecordChange>& changes) { knowledge_.onChanges(SteadyClock().now(), changes); };
        callbacks.onAway = [this] { knowledge_.onStoreAway(SteadyClock().now()); };
        callbacks.onBack = [this] { knowledge_.onStoreBack(SteadyClock().now()); };
        followers_.push_back(std::make_unique<EntryFollower>(store, prefix, std::move(callbacks)));
    }
}

void FleetPlane::start()
{
    for (const auto& follower : followers_)
        Asio::co_spawn(context_, follower->run(), Asio::detached);
    Asio::co_spawn(context_, lease_.run(), Asio::detached);
}

void FleetPlane::tick(TimePoint now)
{
    knowledge_.advance(now);
    tables_.storeAwaySince = knowledge_.awaySince();
    applyConfiguration();
    applyServers();
    applyMembership(now);
    tellPeers(now);
}

void FleetPlane::reload(const FleetSettings& fleet)
{
    knowledge_.setLimits(removalLimits(fleet));
    tables_.serviceRetries.setLimits(retryLimitsOf(fleet));
    tables_.allowance.setLimits(allowanceLimitsOf(fleet));
}

Task<void> FleetPlane::leave()
{
    nextMembership_ = {};
    nextNearNews_ = {};
    nextFarNews_ = {};
    tick(SteadyClock().now());
    co_await lease_.leave();
}

bool FleetPlane::isReady() const
{
    return tables_.configuration.get() && knowledge_.isComplete() && !tables_.isDraining;
}

std::vector<Member> FleetPlane::entries(std::string_view host, const CallerPlace& caller) const
{
    const auto membership = tables_.membership.get();
    if (!membership)
        return {};
    // Without a configuration, no region is treated as a home region of the host's requests.
    const auto homes = applied_ ? homesAt(*applied_, host) : std::vector<RegionId>();
    return entriesNear(*membership, caller, homes);
}

Task<std::vector<PeerAction>> FleetPlane::receive(InstanceId from, ControlEvent event)
{
    if (const auto* news = std::get_if<FleetNews>(&event))
        co_return onNews(SteadyClock().now(), from, *news);
    co_return std::vector<PeerAction>();
}

std::vector<PeerAction> FleetPlane::onNews(TimePoint now, const InstanceId& from, const FleetNews& news)
{
    tracker_.onAnnouncement(from, news.incarnation, news.state);
    tracker_.onReach(now, from, Reach::Answered);
    if (news.state == MemberState::Live)
        knowledge_.onHeard(now, from);
    const auto membership = tables_.membership.get();
    const auto* member = membership ? membership->find(from) : nullptr;
    if (member && member->state != news.state && news.state == MemberState::Leaving)
        nextMembership_ = {};
    tables_.allowance.onDemands(now, from, news.demands, news.heardAgo, news.runsFor);
    if (member && audienceOf(member->region) == Audience::OwnRegion)
        tables_.placement.with([&](PlacementTable& table) { table.onPeerLoad(now, from, news.loads); });
    else if (member)
        tables_.placement.with([&](PlacementTable& table) { table.onOutlook(now, member->region, news.outlooks); });
    if (news.changesView) {
        const auto isOlder = [](const RecordChange& left, const RecordChange& right) { return left.revision < right.revision; };
        const auto newest = std::max_element(news.changes.begin(), news.changes.end(), isOlder);
        if (newest != news.changes.end())
            planeLog.info("Changes received from a peer.", { { "peer", from }, { "changes", news.changes.size() }, { "newest", newest->revision }, { "settled", *news.changesView == PeerView::Settled } });
        knowledge_.onPeerChanges(now, news.changes, *news.changesView);
    }
    if (news.wishAfter.empty())
        return {};
    // An instance that was unreachable for long may no longer be a member when it requests updates again.
    FleetNews answer = newsFor(now, member ? audienceOf(member->region) : Audience::OtherRegions);
    answer.heardAgo = tables_.allowance.heardAgo(now, from);
    answer.changes = knowledge_.changesAfter(news.wishAfter);
    answer.changesView = knowledge_.view(now);
    return { SendNews { from, std::move(answer) } };
}

void FleetPlane::applyConfiguration()
{
    // Without the registry, every request would be refused because no backend server is known.
    if (applied_ == knowledge_.snapshot() || !knowledge_.isComplete())
        return;
    applied_ = knowledge_.snapshot();
    appliedRegistry_ = 0;
    tables_.configuration.set(applied_);
    if (knowledge_.callerLimits())
        tables_.callerLimits = *knowledge_.callerLimits();
}

void FleetPlane::applyServers()
{
    const auto version = knowledge_.registry().version();
    if (!applied_ || version == appliedRegistry_)
        return;
    appliedRegistry_ = version;
    const auto servers = knowledge_.registry().usable();
    tables_.placement.with([&](PlacementTable& table) { table.setServers(servers, *applied_); });
}

void FleetPlane::applyMembership(TimePoint now)
{
    if (now < nextMembership_)
        return;
    nextMembership_ = now + membershipPeriod;
    for (const auto& note : tables_.peerReach.take())
        tracker_.onReach(now, note.instance, note.reach);
    MembershipView list;
    list.instances = knowledge_.members();
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
    const auto size = std::max(view.instances.size(), knowledge_.fleetSize());
    tables_.serviceRetries.setInstances(size);
    tables_.allowance.setInstances(size);
    if (view.instances.size() > knowledge_.fleetSize() && view.instances.front().id == own.id && now >= nextSizeNote_) {
        nextSizeNote_ = now + sizeNotePeriod;
        Asio::co_spawn(context_, noteFleetSize(size), Asio::detached);
    }
    setGauges(now, view);
    tables_.membership.set(std::make_shared<const MembershipView>(std::move(view)));
}

void FleetPlane::setGauges(TimePoint now, const MembershipView& view)
{
    const auto isLive = [](const Member& member) { return member.state == MemberState::Live; };
    const auto live = std::count_if(view.instances.begin(), view.instances.end(), isLive);
    const auto& away = knowledge_.awaySince();
    auto& metrics = tables_.metrics;
    metrics.set("ibisturn_instances_live", static_cast<double>(live));
    metrics.set("ibisturn_backend_servers_usable", static_cast<double>(knowledge_.registry().usable().size()));
    metrics.set("ibisturn_configuration_revision", applied_ ? static_cast<double>(applied_->revision().count()) : 0);
    metrics.set("ibisturn_store_away_seconds", away ? std::chrono::duration<double>(now - *away).count() : 0);
}

void FleetPlane::tellPeers(TimePoint now)
{
    const auto membership = tables_.membership.get();
    if (!membership)
        return;
    std::vector<const Member*> others;
    for (const auto& member : membership->instances) {
        if (member.id != tables_.settings.identity.instance)
            others.push_back(&member);
    }
    const auto isNear = [this](const Member* member) { return audienceOf(member->region) == Audience::OwnRegion; };
    const auto near = static_cast<std::size_t>(std::count_if(others.begin(), others.end(), isNear));
    const bool tellsNear = now >= nextNearNews_;
    const bool tellsFar = now >= nextFarNews_;
    if (tellsNear)
        nextNearNews_ = now + newsPeriod(nearPace, near);
    if (tellsFar)
        nextFarNews_ = now + newsPeriod(farPace, others.size() - near);
    const auto asked = wishes_.next(now, knowledge_.isStoreAway(now), others);
    std::optional<FleetNews> nearNews;
    std::optional<FleetNews> farNews;
    for (const auto* member : others) {
        const bool isAsked = std::find(asked.begin(), asked.end(), member->id) != asked.end();
        if (!isAsked && !(isNear(member) ? tellsNear : tellsFar))
            continue;
        auto& shared = isNear(member) ? nearNews : farNews;
        if (!shared)
            shared = newsFor(now, audienceOf(member->region));
        FleetNews news = *shared;
        news.heardAgo = tables_.allowance.heardAgo(now, member->id);
        if (isAsked)
            news.wishAfter = knowledge_.positions();
        links_.send(*member, toPeerMessage(SendNews { member->id, std::move(news) }));
    }
}

// Instances that start together after the whole fleet was stopped divide the allowance by the stored size, though each of
// them sees few others yet.
Task<void> FleetPlane::noteFleetSize(std::size_t size)
{
    try {
        std::vector<StoreWrite> writes;
        writes.push_back({ fleetSizeKeyOf(tables_.settings.storePrefix), std::to_string(size), std::nullopt, std::nullopt });
        co_await store_.transact(std::move(writes));
    } catch (const std::exception& error) {
        planeLog.warning("Fleet size not stored.", { { "size", size }, { "reason", error.what() } });
    }
}

FleetPlane::Audience FleetPlane::audienceOf(const RegionId& region) const
{
    return region == tables_.settings.identity.region ? Audience::OwnRegion : Audience::OtherRegions;
}

FleetNews FleetPlane::newsFor(TimePoint now, Audience audience) const
{
    FleetNews news;
    news.incarnation = incarnation_;
    news.state = self().state;
    news.runsFor = tables_.allowance.runsFor(now);
    news.demands = tables_.allowance.demands(now);
    if (audience == Audience::OwnRegion)
        tables_.placement.with([&](PlacementTable& table) { news.loads = table.ownLoads(); });
    else
        tables_.placement.with([&](PlacementTable& table) { news.outlooks = table.outlooks(now); });
    return news;
}

Member FleetPlane::self() const
{
    const auto& settings = tables_.settings;
    const auto state = tables_.isDraining ? MemberState::Leaving : MemberState::Live;
    return { settings.identity.instance, settings.identity.region, settings.identity.dataCentre, settings.callersListen, settings.peersListen, state };
}

} // namespace Ibisturn
