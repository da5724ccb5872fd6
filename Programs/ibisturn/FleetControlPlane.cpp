#include "FleetControlPlane.h"

#include <LibCore/RandomIdentity.h>
#include <LibCore/SteadyClock.h>
#include <LibDecision/Streams/StreamLifetime.h>
#include <LibKernel/SpawnDetached.h>
#include <LibPeer/Hello.h>
#include <LibPlatform/StoredStreamNotes.h>
#include <LibPlatform/VersionRecords.h>

#include <algorithm>
#include <set>
#include <utility>

#include <fmt/ranges.h>

namespace Ibisturn {

namespace {

constexpr Log fleetLog("fleet");
/// Minimum time between two writes of the fleet size to the store.
constexpr Duration fleetSizeWritePeriod = std::chrono::seconds(2);
constexpr Duration membershipPeriod = std::chrono::milliseconds(250);
/// How often the store confirms that a quiet prefix is unchanged. Operators' changes and leaving backend servers must take
/// effect within seconds, so a copy that is no longer current must be noticed in a part of the time for which a leaving backend
/// server keeps serving. Entries of instances may be later.
constexpr std::int64_t confirmationsPerDrain = 4;
constexpr Duration minConfirmationPeriod = std::chrono::milliseconds(500);
constexpr Duration maxConfirmationPeriod = std::chrono::milliseconds(1200);
constexpr Duration instancesConfirmationPeriod = std::chrono::milliseconds(8000);

std::string join(const std::set<SoftwareVersion>& versions)
{
    return fmt::format("{}", fmt::join(versions, ","));
}

/// The key of the lock of a cold backend server. It is not below the prefix of the instances' own keys, since nobody has to
/// follow these locks.
std::string coldLockKeyOf(std::string_view ownPrefix, const BackendServerId& server)
{
    while (ownPrefix.ends_with('/'))
        ownPrefix.remove_suffix(1);
    return fmt::format("{}-cold-servers/{}", ownPrefix, server);
}

Duration confirmationPeriod(const FleetSettings& fleet)
{
    return std::clamp<Duration>(fleet.backendDrainPeriod / confirmationsPerDrain, minConfirmationPeriod, maxConfirmationPeriod);
}

/// A stream that began shortly before all instances end is not in the store; a shorter period costs more writes.
constexpr Duration streamNotesWritePeriod = std::chrono::milliseconds(200);
constexpr std::size_t maxUnwrittenStreamNotes = 4096;
/// Bounds the entries of a region, of which there are five for each second of twice this time.
constexpr Duration maxStoredNotesLifetime = std::chrono::seconds(60);
/// Between two reads of the notes of streams by one instance: what other instances note arrives with their status.
constexpr Duration streamNotesReadPause = std::chrono::seconds(2);
/// One in this many writes of the notes of streams is logged.
constexpr std::uint64_t streamNotesLogInterval = 32;

/// Longer than the time between two renewals of the instance's lease, one of them repeated.
constexpr Duration outageDetectionTime = std::chrono::milliseconds(2000);

RemovalLimits removalLimits(const FleetSettings& fleet)
{
    // A removal may take effect as late as a confirmation of the store, the pause between two calls to it, a period of status
    // reports, and the request for the changes need. The rest of the drain time is the grace period.
    constexpr Duration propagationDelay = std::chrono::milliseconds(1500);
    constexpr Duration sendTime = std::chrono::milliseconds(300);
    RemovalLimits limits;
    limits.servingTime = std::max<Duration>(fleet.backendDrainPeriod - sendTime, Duration::zero());
    limits.removalGrace = std::clamp<Duration>(fleet.backendDrainPeriod - propagationDelay, Duration::zero(), limits.recoveryGrace);
    return limits;
}

} // namespace

FleetControlPlane::FleetControlPlane(Asio::io_context& context, InstanceTables& tables, StoreClient& store, const DocumentReader& reader)
    : context_(context)
    , tables_(tables)
    , store_(store)
    , fleetState_(reader, tables.settings.storePrefix, removalLimits(*tables.settings.fleet))
    , incarnation_(generateIncarnation())
    , lease_(store, instancesPrefixOf(tables.settings.storePrefix), self())
    , links_(context, makeHelloMessage(tables.settings.identity), { tables.settings.connectTimeout, controlWriteTimeout, tables.settings.idleTimeout }, *this)
    , statusExchange_(
          tables.settings.identity.instance, tables.settings.identity.region, incarnation_, [this](TimePoint now) { return localStatus(now); }, SteadyClock().now())
    , startedAt_(SteadyClock().now())
    , storeFeed_(startedAt_, { confirmationPeriod(*tables.settings.fleet), 2 })
    , entryLog_(tables.metrics)
{
    std::size_t confirmedPrefixes = 0;
    for (const auto& prefix : fleetState_.prefixes()) {
        const bool isConfirmed = prefix == reader.operatorsPrefix() || prefix == reader.registryPrefix();
        const auto number = isConfirmed ? std::optional(confirmedPrefixes++) : std::nullopt;
        EntryFollower::Callbacks callbacks;
        callbacks.onListing = [this](const EntryFollower::Listing& listing) { fleetState_.onListing(SteadyClock().now(), listing); };
        callbacks.onChanges = [this](const std::vector<RecordChange>& changes) { fleetState_.onChanges(SteadyClock().now(), changes); };
        callbacks.position = [this, prefix] { return fleetState_.positionOf(prefix); };
        callbacks.onConfirmed = [this, number](TimePoint asOf) {
            if (number)
                storeFeed_.onConfirmed(asOf, *number);
        };
        callbacks.onFailed = [this, number] {
            if (number)
                storeFeed_.onFailed(*number);
        };
        const auto period = isConfirmed ? confirmationPeriod(*tables.settings.fleet) : instancesConfirmationPeriod;
        followers_.push_back(std::make_unique<EntryFollower>(store, prefix, period, std::move(callbacks)));
    }
}

void FleetControlPlane::start()
{
    for (const auto& follower : followers_)
        spawnDetached(context_, follower->run(), "store follower");
    spawnDetached(context_, lease_.run(), "lease");
}

void FleetControlPlane::tick(TimePoint now)
{
    fleetState_.advance(now);
    followStore(now);
    noticeStoreEra(now);
    tables_.storeUnavailableSince = fleetState_.unavailableSince();
    applyConfiguration();
    applyServers();
    applyMembership(now);
    lockColdServers(now);
    updateVersions(now);
    applyStatus(now);
    tables_.streamOrigins.onNotes(now, statusExchange_.takeNotes(now));
    storeStreamNotes(now);
    updateQuarantine(now);
    for (const auto& message : statusExchange_.advance(now))
        std::visit([this](const auto& action) { send(action); }, message);
    requestStoreUpdates(now);
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
    statusExchange_.reportSoon();
    tick(SteadyClock().now());
    co_await lease_.leave();
}

bool FleetControlPlane::isReady() const
{
    return tables_.configuration.get() && fleetState_.isComplete() && !tables_.isDraining;
}

std::vector<Member> FleetControlPlane::entries(std::string_view host, const CallerLocation& caller) const
{
    const auto membership = isMembershipComplete_ ? tables_.membership.get() : nullptr;
    const auto regions = appliedSnapshot_ ? regionsOfHost(*appliedSnapshot_, host, tables_.routeDemand, SteadyClock().now()) : HostRegions::unknown();
    auto entries = membership ? entriesNear(*membership, caller, regions) : std::vector<Member>();
    entryLog_.record({ host, caller, regions, entries, membership.get(), appliedSnapshot_ ? appliedSnapshot_->revision() : Revision() });
    return entries;
}

Task<std::vector<PeerAction>> FleetControlPlane::receive(InstanceId from, ControlEvent event)
{
    const auto now = SteadyClock().now();
    if (const auto* update = std::get_if<StoreUpdate>(&event))
        co_return onStoreUpdate(now, from, *update);
    co_return onStatusMessage(now, from, event);
}

std::vector<PeerAction> FleetControlPlane::onStatusMessage(TimePoint now, const InstanceId& from, const ControlEvent& event)
{
    std::optional<StatusExchange::Messages> answers;
    if (const auto* report = std::get_if<InstanceReport>(&event)) {
        tracker_.onAnnouncement(from, report->incarnation, report->state);
        if (report->state == MemberState::Live)
            fleetState_.onPeerMessage(now, from);
        answers = statusExchange_.onReport(now, from, *report);
    } else if (const auto* digest = std::get_if<FleetDigest>(&event)) {
        answers = statusExchange_.onDigest(now, from, *digest);
        const auto sentAt = statusExchange_.reportSentAt(*digest);
        if (answers && sentAt)
            storeFeed_.onStatus(now, *sentAt, from, statusExchange_.rankOf(from), digest->store);
    } else if (const auto* exchange = std::get_if<RegionExchange>(&event)) {
        answers = statusExchange_.onExchange(now, from, *exchange);
    } else {
        return {};
    }
    if (!answers) {
        // A new instance may report before its entry has arrived here.
        fleetLog.debug("Status refused.", { { "peer", from } });
        tables_.metrics.increment("ibisturn_status_refused_total");
        return {};
    }
    tracker_.onReachability(now, from, Reachability::Reachable);
    std::vector<PeerAction> actions;
    for (auto& answer : *answers)
        std::visit([&actions](auto& action) { actions.emplace_back(std::move(action)); }, answer);
    return actions;
}

std::vector<PeerAction> FleetControlPlane::onStoreUpdate(TimePoint now, const InstanceId& from, const StoreUpdate& update)
{
    if (update.view) {
        const auto isOlder = [](const RecordChange& left, const RecordChange& right) { return left.revision < right.revision; };
        const auto newest = std::max_element(update.changes.begin(), update.changes.end(), isOlder);
        if (newest != update.changes.end())
            fleetLog.info("Changes received from a peer.", { { "peer", from }, { "changes", update.changes.size() }, { "newest", newest->revision }, { "settled", *update.view == StoreView::Complete } });
        fleetState_.onPeerUpdate(now, update);
    }
    if (update.requestAfter.empty())
        return {};
    if (largeAnswers_.isRepeated(now, from, update.requestAfter))
        return {};
    auto answer = fleetState_.updateAfter(now, update.requestAfter);
    largeAnswers_.onAnswer(now, from, update.requestAfter, answer);
    return { SendStoreUpdate { from, std::move(answer) } };
}

// The first collector of the region follows the store. The others learn of its changes with their digests.
void FleetControlPlane::followStore(TimePoint now)
{
    storeFeed_.setReportPeriod(statusExchange_.period());
    storeFeed_.advance(now, statusExchange_.rank(), fleetState_.positions());
    fleetState_.setConfirmedAt(storeFeed_.confirmedAt());
    // Every instance lists the store itself after it has come back from an older copy.
    const bool isFollowing = storeFeed_.isFollowing() || !fleetState_.isComplete() || fleetState_.isBehindEra(store_.era());
    for (const auto& follower : followers_)
        follower->setSuspended(!isFollowing);
    // The instance may know nothing of the latest changes while the store serves all others, so that no entry expires.
    const auto answeredAt = std::max(lease_.answeredAt(), storeFeed_.confirmedAt()).value_or(startedAt_);
    if (now - answeredAt <= outageDetectionTime)
        fleetState_.onStoreAvailable(now);
    else
        fleetState_.onStoreUnavailable(now);
}

void FleetControlPlane::applyConfiguration()
{
    // Without the registry, every request would be refused because no backend server is known.
    if (appliedSnapshot_ == fleetState_.snapshot() || !fleetState_.isComplete())
        return;
    appliedSnapshot_ = fleetState_.snapshot();
    appliedRegistryVersion_ = 0;
    tables_.configuration.set(appliedSnapshot_);
    tables_.streamOrigins.setLifetime(streamLifetimeOf(*appliedSnapshot_));
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
    const auto restarts = tables_.placement.with([&](PlacementTable& table) {
        table.setServers(servers, *appliedSnapshot_);
        return table.takeRestarts(SteadyClock().now());
    });
    for (const auto& restart : restarts)
        fleetLog.info("Backend server was restarted.", { { "server", restart.server }, { "started", restart.started }, { "before", restart.before }, { "sent_last_second", restart.sentInLastSecond }, { "suspected", restart.wasSuspected } });
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
    coldServerLocks_.setInstances(own.id, inRegion);
    statusExchange_.setMembers(view);
    const auto size = std::max(view.instances.size(), fleetState_.fleetSize());
    tables_.serviceRetries.setInstances(size);
    tables_.allowance.setInstanceCount(size);
    const bool isSizeUnknownToStore = view.instances.size() > fleetState_.fleetSize() || fleetState_.fleetSize() > fleetState_.storedFleetSize();
    if (isSizeUnknownToStore && view.instances.front().id == own.id && now >= nextFleetSizeWrite_) {
        nextFleetSizeWrite_ = now + fleetSizeWritePeriod;
        spawnDetached(context_, storeFleetSize(size), "fleet size");
    }
    setGauges(now, view);
    isMembershipComplete_ = fleetState_.isComplete();
    tables_.membership.set(std::make_shared<const MembershipView>(std::move(view)));
}

void FleetControlPlane::noticeStoreEra(TimePoint now)
{
    const auto era = store_.era();
    if (era == storeEra_)
        return;
    fleetLog.info("The store is in a new era.", { { "store_era", era }, { "before", storeEra_ } });
    // A process that has just started can't tell how long ago the era began, unless the store has never come back.
    if (store_.hasComeBack()) {
        coldServerLocks_.onLocksLost(now, InstanceLease::leaseTerm);
        tables_.versionLedger.onHistoryLost(now);
    }
    storeEra_ = era;
}

void FleetControlPlane::applyResumableRoutes(TimePoint now)
{
    if (resumableSnapshot_ == appliedSnapshot_ && registeredVersionsOf_ == fleetState_.registry().version())
        return;
    if (resumableSnapshot_ != appliedSnapshot_) {
        resumableSnapshot_ = appliedSnapshot_;
        resumableServices_.clear();
        for (const auto& route : appliedSnapshot_->routes()) {
            if (!route.policy || route.policy->resume != ResumeSupport::Supported)
                continue;
            for (const auto& share : route.policy->services)
                resumableServices_.insert(share.service);
        }
        tables_.versionLedger.setLifetime(now, streamLifetimeOf(*appliedSnapshot_));
    }
    registeredVersionsOf_ = fleetState_.registry().version();
    registeredVersions_ = fleetState_.registry().registeredVersions();
    std::erase_if(registeredVersions_, [this](const auto& entry) { return !resumableServices_.contains(entry.first); });
}

RegistryView FleetControlPlane::registryView(TimePoint now) const
{
    if (fleetState_.unavailableSince())
        return RegistryView::Unavailable;
    const bool isComplete = fleetState_.isComplete() && fleetState_.view(now) == StoreView::Complete && !fleetState_.isBehindEra(store_.era());
    return isComplete ? RegistryView::Complete : RegistryView::Partial;
}

void FleetControlPlane::updateVersions(TimePoint now)
{
    auto& ledger = tables_.versionLedger;
    for (const auto& change : fleetState_.takeVersionRecordChanges()) {
        ledger.onRecord(now, change.service, change.record, change.asOf);
        const auto record = change.record.value_or(VersionRecord());
        fleetLog.info("Software versions changed.", { { "service", change.service }, { "listed", join(record.listed) }, { "retiring", join(record.retiring) }, { "revision", change.asOf } });
    }
    // Before, it isn't known which records the store has.
    if (!appliedSnapshot_)
        return;
    applyResumableRoutes(now);
    for (auto& write : ledger.takeDueWrites(now, registeredVersions_, registryView(now), statusExchange_.rank()))
        spawnDetached(context_, storeVersions(std::move(write)), "software versions");
    if (ledger.needsRead(now)) {
        ledger.beginRead(now);
        spawnDetached(context_, readVersions(now), "software versions");
    }
    if (ledger.isProofRequested(now) && needsStoredNotes() && now >= nextStreamNotesRead_ && !areStreamNotesBeingRead_) {
        areStreamNotesBeingRead_ = true;
        spawnDetached(context_, readStreamNotes(), "stream notes");
    }
    tables_.metrics.set("ibisturn_software_version_records", static_cast<double>(ledger.recordCount()));
    auto listed = ledger.listed();
    if (listed == listedVersions_)
        return;
    listedVersions_ = std::move(listed);
    tables_.placement.with([this](PlacementTable& table) { table.setListedVersions(listedVersions_); });
}

Task<void> FleetControlPlane::storeVersions(LedgerWrite write)
{
    auto& ledger = tables_.versionLedger;
    const bool isDeletion = write.listed.empty() && write.retiring.empty();
    std::vector<StoreWrite> writes;
    writes.push_back({ versionsKeyOf(tables_.settings.storePrefix, write.service), isDeletion ? std::nullopt : std::optional(formatVersions(write.listed, write.retiring)), write.expected, std::nullopt });
    std::string_view outcome = "failed";
    std::string reason;
    Revision revision;
    try {
        const StoreWriteResult result = co_await store_.transact(std::move(writes));
        const auto now = SteadyClock().now();
        noticeStoreEra(now);
        if (result.outcome == WriteOutcome::Written) {
            outcome = "written";
            revision = result.revision;
            ledger.onRecord(now, write.service, isDeletion ? std::nullopt : std::optional(VersionRecord { write.listed, write.retiring, revision }), revision);
            ledger.onWritten(write.service);
        } else if (!result.current.empty()) {
            outcome = "conflict";
            const auto& current = result.current.front();
            revision = current.revision;
            ledger.onRecord(now, write.service, parseVersions(current.value, revision).value_or(unreadableVersions(revision)), revision);
            ledger.onWritten(write.service);
        } else {
            // It was deleted, or is of an earlier era. The changes that are followed say which.
            outcome = "conflict";
            ledger.onWriteFailed(now, write.service);
        }
    } catch (const std::exception& error) {
        reason = error.what();
        ledger.onWriteFailed(SteadyClock().now(), write.service);
    }
    fleetLog.info("Write of software versions.", { { "service", write.service }, { "listed", join(write.listed) }, { "retiring", join(write.retiring) }, { "expected", write.expected }, { "revision", revision }, { "rank", statusExchange_.rank() }, { "outcome", outcome }, { "reason", reason } });
    tables_.metrics.increment(fmt::format("ibisturn_software_version_writes_total{{outcome=\"{}\"}}", outcome));
}

Task<void> FleetControlPlane::readVersions(TimePoint startedAt)
{
    auto& ledger = tables_.versionLedger;
    try {
        const StoreRange range = co_await store_.range(versionsPrefixOf(tables_.settings.storePrefix));
        std::map<ServiceId, VersionRecord> records;
        for (const auto& entry : range.entries) {
            if (const auto service = serviceOfVersionsKey(tables_.settings.storePrefix, entry.key))
                records[*service] = parseVersions(entry.value, entry.revision).value_or(unreadableVersions(entry.revision));
        }
        const auto now = SteadyClock().now();
        noticeStoreEra(now);
        ledger.onRead(now, startedAt, records, range.revision);
        const auto single = std::count_if(records.begin(), records.end(), [](const auto& record) { return record.second.listed.size() + record.second.retiring.size() == 1; });
        fleetLog.info("Read of software versions.", { { "outcome", "read" }, { "records", records.size() }, { "single", single }, { "revision", range.revision }, { "ms", std::chrono::duration_cast<std::chrono::milliseconds>(now - startedAt).count() } });
        tables_.metrics.increment("ibisturn_software_version_reads_total{outcome=\"read\"}");
    } catch (const std::exception& error) {
        ledger.onReadFailed(SteadyClock().now());
        fleetLog.info("Read of software versions.", { { "outcome", "failed" }, { "reason", error.what() } });
        tables_.metrics.increment("ibisturn_software_version_reads_total{outcome=\"failed\"}");
    }
}

// After the store has come back from an older copy, each process that starts proves nothing for a while, since it can't tell when that was.
bool FleetControlPlane::needsStoredNotes() const
{
    return tables_.versionLedger.hasSeveralVersions() || store_.hasComeBack();
}

// While several versions may have begun streams, what the instances of a region noted would be lost if all of them ended at once. The first
// collector has the notes of the region, so the number of writes does not grow with the number of instances.
void FleetControlPlane::storeStreamNotes(TimePoint now)
{
    const bool isDue = now >= nextStreamNotesWrite_ && !areStreamNotesBeingWritten_;
    if (!isDue || statusExchange_.rank() != 0 || !needsStoredNotes() || fleetState_.unavailableSince())
        return;
    nextStreamNotesWrite_ = now + streamNotesWritePeriod;
    auto notes = statusExchange_.takeRegionNotes(now);
    notes.insert(notes.end(), unwrittenStreamNotes_.begin(), unwrittenStreamNotes_.end());
    unwrittenStreamNotes_.clear();
    if (notes.empty())
        return;
    areStreamNotesBeingWritten_ = true;
    spawnDetached(context_, writeStreamNotes(std::move(notes), ++streamNotesWritten_), "stream notes");
}

Task<void> FleetControlPlane::writeStreamNotes(std::vector<StreamNote> notes, std::uint64_t number)
{
    const auto count = notes.size();
    std::string reason;
    try {
        const auto lifetime = std::min(appliedSnapshot_ ? streamLifetimeOf(*appliedSnapshot_) : VersionLedger::defaultLifetime, maxStoredNotesLifetime);
        const auto now = SteadyClock().now();
        if (!streamNotesLease_ || now - streamNotesLeaseSince_ >= lifetime || streamNotesLease_->era != store_.era()) {
            streamNotesLease_ = co_await store_.grantLease(2 * lifetime);
            streamNotesLeaseSince_ = now;
        }
        std::vector<StoreWrite> writes;
        writes.push_back({ streamNotesKeyOf(tables_.settings.storePrefix, tables_.settings.identity.instance, incarnation_, number), formatStreamNotes(notes), std::nullopt, streamNotesLease_ });
        co_await store_.transact(std::move(writes));
    } catch (const std::exception& error) {
        streamNotesLease_.reset();
        reason = error.what();
        // What is too much depends on the instances that have the notes.
        if (notes.size() <= maxUnwrittenStreamNotes)
            unwrittenStreamNotes_ = std::move(notes);
    }
    areStreamNotesBeingWritten_ = false;
    const auto* outcome = reason.empty() ? "written" : "failed";
    if (!reason.empty() || number % streamNotesLogInterval == 1)
        fleetLog.info("Write of the notes of streams.", { { "notes", count }, { "number", number }, { "outcome", outcome }, { "reason", reason } });
    tables_.metrics.increment(fmt::format("ibisturn_stream_notes_writes_total{{outcome=\"{}\"}}", outcome));
}

Task<void> FleetControlPlane::readStreamNotes()
{
    try {
        const StoreRange range = co_await store_.range(streamNotesPrefixOf(tables_.settings.storePrefix));
        std::size_t count = 0;
        std::size_t unreadable = 0;
        for (const auto& entry : range.entries) {
            const auto notes = parseStreamNotes(entry.value);
            if (notes)
                tables_.streamOrigins.onNotes(SteadyClock().now(), *notes);
            count += notes ? notes->size() : 0;
            unreadable += notes ? 0 : 1;
        }
        fleetLog.info("Read of the notes of streams.", { { "entries", range.entries.size() }, { "notes", count }, { "unreadable", unreadable }, { "revision", range.revision } });
        tables_.metrics.increment("ibisturn_stream_notes_reads_total{outcome=\"read\"}");
    } catch (const std::exception& error) {
        fleetLog.info("Notes of streams not read.", { { "reason", error.what() } });
        tables_.metrics.increment("ibisturn_stream_notes_reads_total{outcome=\"failed\"}");
    }
    nextStreamNotesRead_ = SteadyClock().now() + streamNotesReadPause;
    areStreamNotesBeingRead_ = false;
}

void FleetControlPlane::lockColdServers(TimePoint now)
{
    coldServerLocks_.setTerm(lease_.term());
    const auto cold = tables_.placement.with([&](PlacementTable& table) {
        table.setColdServersHeld(coldServerLocks_.held());
        return table.coldServers(now);
    });
    for (auto& server : coldServerLocks_.advance(now, cold))
        spawnDetached(context_, lockColdServer(std::move(server), *lease_.lease(), *coldServerLocks_.term()), "cold server lock");
    auto stale = coldServerLocks_.takeStale(now);
    if (!stale.empty())
        spawnDetached(context_, deleteLocks(std::move(stale)), "lock deletion");
}

Task<void> FleetControlPlane::lockColdServer(BackendServerId server, LeaseId lease, LockTermId term)
{
    const auto holder = fmt::format("{} {} {}@{}", tables_.settings.identity.instance, incarnation_, lease.number, lease.era);
    std::vector<StoreWrite> writes;
    writes.push_back({ coldLockKeyOf(tables_.settings.storePrefix, server), holder, Revision(0), lease });
    LockAttempt attempt;
    std::string reason;
    try {
        const StoreWriteResult result = co_await store_.transact(std::move(writes));
        const auto* current = result.current.empty() ? nullptr : &result.current.front();
        if (result.outcome == WriteOutcome::Written)
            attempt = { LockOutcome::Held, result.revision };
        else if (current && current->value == holder) // Written by an earlier attempt whose reply was lost.
            attempt = { LockOutcome::Held, current->revision };
        else
            attempt.outcome = LockOutcome::HeldByOther;
        if (attempt.outcome == LockOutcome::HeldByOther)
            reason = current ? "held by " + current->value : "held by another instance";
    } catch (const std::exception& error) {
        reason = error.what();
    }
    fleetLog.info("Lock of a cold backend server.", { { "server", server }, { "held", attempt.outcome == LockOutcome::Held }, { "lease", lease.number }, { "store_era", lease.era }, { "reason", reason } });
    coldServerLocks_.onAttempt(SteadyClock().now(), server, term, attempt);
}

Task<void> FleetControlPlane::deleteLocks(std::vector<StoredLock> locks)
{
    std::vector<StoreWrite> writes;
    writes.reserve(locks.size());
    for (const auto& lock : locks)
        writes.push_back({ coldLockKeyOf(tables_.settings.storePrefix, lock.server), std::nullopt, lock.revision, std::nullopt });
    try {
        co_await store_.transact(std::move(writes));
    } catch (const std::exception& error) {
        // They are deleted with the instance's lease.
        fleetLog.warning("Locks of backend servers not deleted.", { { "locks", locks.size() }, { "reason", error.what() } });
    }
}

void FleetControlPlane::updateQuarantine(TimePoint now)
{
    auto& quarantine = tables_.quarantine;
    for (const auto& change : fleetState_.takeQuarantineChanges()) {
        if (change.entry == QuarantineEntry::Written)
            quarantine.onStored(now, change.part);
        else if (change.entry == QuarantineEntry::Deleted)
            quarantine.onDeleted(change.part);
        else
            quarantine.onLost(now, change.part);
    }
    for (const auto& part : quarantine.advance(now))
        fleetLog.warning("Backend servers crash on a prompt part; it is quarantined.", { { "part", formatPart(part) }, { "crashes", quarantine.describeCrashes(now, part) } });
    tables_.metrics.set("ibisturn_request_memory_bytes", static_cast<double>(tables_.requestMemory.held().count()));
    tables_.metrics.set("ibisturn_connection_memory_bytes", static_cast<double>(tables_.connectionMemory.held().count()));
    tables_.metrics.set("ibisturn_prompt_parts_quarantined", static_cast<double>(quarantine.size()));
    // All instances come to the same conclusion, and the collectors of a region write it down for those that start later.
    if (statusExchange_.rank() >= CollectorChoice::collectorsPerRegion)
        return;
    for (auto& part : quarantine.takeDueWrites(now))
        spawnDetached(context_, storeQuarantine(std::move(part)), "quarantine");
}

Task<void> FleetControlPlane::storeQuarantine(ServicePart part)
{
    try {
        const LeaseId lease = co_await store_.grantLease(PromptQuarantine::quarantineTime);
        std::vector<StoreWrite> writes;
        writes.push_back({ quarantineKeyOf(tables_.settings.storePrefix, part), tables_.settings.identity.instance.value(), std::nullopt, lease });
        co_await store_.transact(std::move(writes));
    } catch (const std::exception& error) {
        // It is written again later; this instance and those it reaches refuse requests with the part meanwhile.
        fleetLog.warning("Quarantine not stored.", { { "part", formatPart(part) }, { "reason", error.what() } });
    }
}

void FleetControlPlane::setGauges(TimePoint now, const MembershipView& view)
{
    const auto isLive = [](const Member& member) { return member.state == MemberState::Live; };
    const auto live = std::count_if(view.instances.begin(), view.instances.end(), isLive);
    const auto& unavailableSince = fleetState_.unavailableSince();
    auto& metrics = tables_.metrics;
    metrics.set("ibisturn_instances_live", static_cast<double>(live));
    metrics.set("ibisturn_backend_servers_usable", static_cast<double>(fleetState_.registry().usable().size()));
    metrics.set("ibisturn_backend_servers_restart_suspected", static_cast<double>(tables_.placement.with([now](PlacementTable& table) { return table.suspectedRestarts(now); })));
    metrics.set("ibisturn_configuration_revision", appliedSnapshot_ ? static_cast<double>(appliedSnapshot_->revision().number()) : 0);
    metrics.set("ibisturn_stream_origins_known", static_cast<double>(tables_.streamOrigins.size()));
    metrics.set("ibisturn_odd_store_items", static_cast<double>(store_.oddItems() + fleetState_.oddEntries()));
    metrics.set("ibisturn_store_era", static_cast<double>(store_.era().count()));
    metrics.set("ibisturn_store_away_seconds", unavailableSince ? std::chrono::duration<double>(now - *unavailableSince).count() : 0);
}

void FleetControlPlane::applyStatus(TimePoint now)
{
    if (appliedStatusVersion_ == statusExchange_.version())
        return;
    appliedStatusVersion_ = statusExchange_.version();
    const auto status = statusExchange_.status(now);
    tables_.placement.with([&](PlacementTable& table) { table.setOtherLoads(status.receivedAt, status.loads); });
    std::set<DemandSourceId> sources;
    for (const auto& region : status.regions) {
        const auto& digest = region.digest;
        const DemandSourceId source(digest.region.value());
        sources.insert(source);
        const auto timeSinceOwnReport = region.acknowledgedAt ? std::optional(status.receivedAt - *region.acknowledgedAt) : std::nullopt;
        tables_.allowance.onDemandReport(status.receivedAt, source, digest.demands, timeSinceOwnReport, digest.uptime, digest.instances);
        if (digest.region != tables_.settings.identity.region)
            tables_.placement.with([&](PlacementTable& table) { table.onWaitEstimates(status.receivedAt, digest.region, digest.waitEstimates); });
        tables_.quarantine.onEvidence(status.receivedAt, digest.evidence);
        for (const auto& leaving : digest.leaving)
            tracker_.onAnnouncement(leaving.instance, leaving.incarnation, MemberState::Leaving);
        for (const auto& instance : digest.unlisted)
            fleetState_.onPeerMessage(now, instance);
    }
    tables_.allowance.retainSources(sources);
}

void FleetControlPlane::requestStoreUpdates(TimePoint now)
{
    const auto membership = tables_.membership.get();
    if (!membership)
        return;
    std::vector<const Member*> others;
    for (const auto& member : membership->instances) {
        if (member.id != tables_.settings.identity.instance)
            others.push_back(&member);
    }
    auto sources = updateRequests_.next(now, fleetState_.isStoreUnavailable(now), others);
    const auto ahead = storeFeed_.sourceOf(now, fleetState_.positions());
    if (ahead && std::find(sources.begin(), sources.end(), *ahead) == sources.end())
        sources.push_back(*ahead);
    for (const auto& source : sources)
        send(SendStoreUpdate { source, { fleetState_.positions(), {}, {}, std::nullopt, {}, {} } });
}

void FleetControlPlane::send(const PeerAction& action)
{
    const auto& peer = std::visit([](const auto& message) -> const InstanceId& { return message.peer; }, action);
    const auto membership = tables_.membership.get();
    const auto* member = membership ? membership->find(peer) : nullptr;
    if (member)
        links_.send(*member, toPeerMessage(action));
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

LocalStatus FleetControlPlane::localStatus(TimePoint now) const
{
    LocalStatus status;
    status.state = self().state;
    status.uptime = tables_.allowance.uptime(now);
    status.demands = tables_.allowance.demands(now);
    tables_.placement.with([&](PlacementTable& table) {
        status.loads = table.ownLoads();
        status.waitEstimates = table.waitEstimates(now);
    });
    status.store = storeFeed_.status(now, fleetState_.positions());
    status.evidence = tables_.quarantine.ownEvidence(now);
    status.notes = tables_.streamOrigins.recentNotes(now);
    status.withoutEntry = fleetState_.membersWithoutEntry();
    return status;
}

Member FleetControlPlane::self() const
{
    const auto& settings = tables_.settings;
    const auto state = tables_.isDraining ? MemberState::Leaving : MemberState::Live;
    return { settings.identity.instance, settings.identity.region, settings.identity.dataCentre, settings.callersListen, settings.peersListen, state, incarnation_, settings.fleet->processorShare };
}

} // namespace Ibisturn
