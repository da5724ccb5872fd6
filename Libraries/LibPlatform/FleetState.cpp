#include <LibPlatform/FleetState.h>

#include <LibCore/Error.h>
#include <LibCore/Log.h>
#include <LibDecision/Dissemination/StoreFeed.h>
#include <LibPlatform/InstanceLease.h>
#include <LibPlatform/VersionRecords.h>

#include <algorithm>
#include <charconv>
#include <utility>

namespace Ibisturn {

namespace {

constexpr Log fleetLog("fleet");
/// Deletions that are kept so that they can be sent to peers.
constexpr std::size_t maxDeletions = 512;
constexpr std::size_t maxInstances = 100'000;
/// Larger than any entry but a configuration; the values of all entries are kept and sent to peers.
constexpr std::size_t maxEntrySize = 64UL * 1024;
/// For shorter outages of the store, requesting its changes from peers is not worth while.
constexpr Duration minOutage = std::chrono::milliseconds(500);

/// How long entries of operators are kept as they were after the store came back from an older copy: operators write again what the copy
/// lacks within this time.
constexpr Duration operatorsGrace = std::chrono::milliseconds(2500);
/// An instance's entry in an older copy expires within the term of its lease if the process no longer runs, and its removal reaches every
/// instance some seconds later.
constexpr Duration instancesGrace = std::chrono::milliseconds(8000);
/// A configuration with a lower version than the one in force is taken after all if it stands for this long, many times as long as operators
/// need to write again what the store has lost.
constexpr Duration lowerVersionGrace = std::chrono::seconds(30);

/// Several times the maximum interval between status messages.
constexpr Duration messageGrace = std::chrono::milliseconds(2000);

std::string quarantinePrefixOf(const std::string& ownPrefix)
{
    return ownPrefix + "quarantine/";
}

} // namespace

std::string instancesPrefixOf(const std::string& ownPrefix)
{
    return ownPrefix + "instances/";
}

std::string quarantineKeyOf(const std::string& ownPrefix, const ServicePart& part)
{
    return quarantinePrefixOf(ownPrefix) + formatPart(part);
}

std::string fleetSizeKeyOf(const std::string& ownPrefix)
{
    return ownPrefix + "fleet-size";
}

FleetState::FleetState(const DocumentReader& reader, std::string ownPrefix, RemovalLimits limits)
    : reader_(reader)
    , ownPrefix_(std::move(ownPrefix))
    , instancesPrefix_(instancesPrefixOf(ownPrefix_))
    , prefixes_({ reader_.operatorsPrefix(), reader_.registryPrefix(), ownPrefix_ })
    , registry_(limits)
    , positions_(prefixes_.size())
    , removalsKnownAfter_(prefixes_.size())
{
}

void FleetState::setLimits(RemovalLimits limits)
{
    registry_.setLimits(limits);
}

void FleetState::setConfirmedAt(const std::optional<TimePoint>& confirmedAt)
{
    confirmedAt_ = confirmedAt;
    registry_.setConfirmedAt(confirmedAt);
}

void FleetState::onListing(TimePoint now, const EntryFollower::Listing& listing)
{
    const auto index = indexOf(listing.prefix);
    if (!index)
        return;
    listed_.insert(listing.prefix);
    onPosition(now, *index, listing.position);
    std::vector<RecordChange> entries;
    for (const auto& entry : listing.entries) {
        if (!isObsolete(entry))
            entries.push_back(withoutOversizedValue(now, entry));
    }
    for (const auto& applied : mirror_.applyListing(listing.prefix, listing.position, entries))
        apply(now, applied);
    advancePosition(*index, listing.position);
    removalsKnownAfter_[*index] = std::max(removalsKnownAfter_[*index], std::optional(listing.position));
}

void FleetState::onChanges(TimePoint now, const std::vector<RecordChange>& changes)
{
    applyChanges(now, changes);
    for (const auto& change : changes) {
        if (const auto index = indexOf(change.key))
            advancePosition(*index, change.revision);
    }
}

void FleetState::onPeerUpdate(TimePoint now, const StoreUpdate& update)
{
    for (std::size_t index = 0; index < std::min(positions_.size(), update.positions.size()); ++index)
        onPosition(now, index, update.positions[index]);
    applyChanges(now, update.changes);
    for (std::size_t index = 0; index < std::min(positions_.size(), update.positions.size()); ++index) {
        const bool isListed = std::find(update.listedPrefixes.begin(), update.listedPrefixes.end(), index) != update.listedPrefixes.end();
        if (isListed && !applyExistingKeys(now, index, update.positions[index], update.existingKeys))
            continue;
        advancePosition(index, update.positions[index]);
    }
    if (update.view == StoreView::Complete)
        registry_.onPeerReport(now);
}

void FleetState::applyChanges(TimePoint now, const std::vector<RecordChange>& changes)
{
    for (const auto& change : changes) {
        if (isObsolete(change))
            continue;
        if (const auto applied = mirror_.apply(withoutOversizedValue(now, change)))
            apply(now, *applied);
    }
}

RecordChange FleetState::withoutOversizedValue(TimePoint now, RecordChange change)
{
    if (!change.value || change.value->size() <= maxEntrySize || reader_.isConfiguration(change.key))
        return change;
    oddEntries_.report(now, change.key, "its value is too large");
    change.value = std::string();
    return change;
}

// Everything up to the position is known, so a key that isn't was removed before. Its earlier change arrives late.
bool FleetState::isObsolete(const RecordChange& change) const
{
    const auto index = indexOf(change.key);
    return index && change.revision <= positions_[*index] && !mirror_.find(change.key);
}

// Entries that this instance has and the peer has not were removed before the peer learned of them. Returns false if the peer has
// entries that this instance lacks, and requests them again.
bool FleetState::applyExistingKeys(TimePoint now, std::size_t index, Revision position, const std::vector<std::string>& keys)
{
    const auto& prefix = prefixes_[index];
    std::vector<RecordChange> existing;
    for (const auto& key : keys) {
        if (!key.starts_with(prefix))
            continue;
        const auto* known = mirror_.find(key);
        if (!known && positions_[index] < position) {
            fleetLog.warning("Entry of a peer is unknown; requesting all entries again.", { { "key", key }, { "position", positions_[index] } });
            positions_[index] = Revision(0, positions_[index].era());
            return false;
        }
        if (known)
            existing.push_back(*known);
    }
    for (const auto& applied : mirror_.applyListing(prefix, position, existing))
        apply(now, applied);
    removalsKnownAfter_[index] = std::max(removalsKnownAfter_[index], std::optional(position));
    return true;
}

void FleetState::onStoreUnavailable(TimePoint now)
{
    registry_.onStoreUnavailable(now);
}

void FleetState::onStoreAvailable(TimePoint now)
{
    registry_.onStoreAvailable(now);
}

bool FleetState::isStoreUnavailable(TimePoint now) const
{
    return unavailableSince() && now - *unavailableSince() > minOutage;
}

void FleetState::advance(TimePoint now)
{
    applyDeferred(now);
    for (const auto& id : registry_.advance(now))
        fleetLog.info("Backend server dropped.", { { "server", id } });
    const auto discarded = mirror_.discardDeletions(maxDeletions);
    for (auto& removalsKnownAfter : removalsKnownAfter_) {
        if (removalsKnownAfter)
            removalsKnownAfter = std::max(*removalsKnownAfter, discarded);
    }
    std::erase_if(members_, [this, now](const auto& entry) { return isExpired(entry.second, now); });
}

bool FleetState::isExpired(const KnownMember& known, TimePoint now) const
{
    // A leaving instance removes its own entry, so while the store is available a removal takes effect at once.
    return known.removedAt && !registry_.removalGracePeriod().isInGracePeriod(*known.removedAt, now, known.grace) && now - known.lastMessageAt >= messageGrace;
}

void FleetState::onPeerMessage(TimePoint now, const InstanceId& instance)
{
    const auto found = members_.find(instancesPrefix_ + instance.value());
    if (found != members_.end())
        found->second.lastMessageAt = now;
}

std::vector<Member> FleetState::members() const
{
    std::vector<Member> members;
    for (const auto& [key, known] : members_)
        members.push_back(known.member);
    return members;
}

std::vector<InstanceId> FleetState::membersWithoutEntry() const
{
    std::vector<InstanceId> members;
    for (const auto& [key, known] : members_) {
        if (known.removedAt)
            members.push_back(known.member.id);
    }
    return members;
}

std::optional<Revision> FleetState::positionOf(const std::string& prefix) const
{
    const auto index = indexOf(prefix);
    return index && listed_.contains(prefix) ? std::optional(positions_[*index]) : std::nullopt;
}

std::optional<std::size_t> FleetState::indexOf(std::string_view key) const
{
    const auto found = std::find_if(prefixes_.begin(), prefixes_.end(), [key](const std::string& prefix) { return key.starts_with(prefix); });
    return found == prefixes_.end() ? std::nullopt : std::optional(static_cast<std::size_t>(found - prefixes_.begin()));
}

StoreUpdate FleetState::updateAfter(TimePoint now, const std::vector<Revision>& positions) const
{
    StoreUpdate update;
    update.view = view(now);
    const auto isEarlier = [](const std::vector<Revision>& left, const std::vector<Revision>& right) {
        return !left.empty() && std::max_element(left.begin(), left.end())->era() < std::max_element(right.begin(), right.end())->era();
    };
    if (isEarlier(positions, positions_) && now - eraSince_ < StoreFeed::ownListingTime) {
        update.view = StoreView::Partial;
        return update;
    }
    for (std::size_t index = 0; index < prefixes_.size(); ++index) {
        const auto position = index < positions.size() ? positions[index] : Revision();
        const auto& removalsKnownAfter = removalsKnownAfter_[index];
        update.positions.push_back(removalsKnownAfter ? positions_[index] : Revision());
        const bool isListed = removalsKnownAfter && position < *removalsKnownAfter;
        if (isListed)
            update.listedPrefixes.push_back(static_cast<std::uint32_t>(index));
        for (auto& change : mirror_.changesBelow(prefixes_[index])) {
            if (isListed && change.value)
                update.existingKeys.push_back(change.key);
            if (change.revision > position)
                update.changes.push_back(std::move(change));
        }
    }
    return update;
}

void FleetState::advancePosition(std::size_t index, Revision position)
{
    positions_[index] = std::max(positions_[index], position);
}

void FleetState::apply(TimePoint now, const AppliedChange& applied)
{
    const auto& change = applied.change;
    const auto deferral = deferralOf(applied);
    deferred_.erase(change.key);
    if (!deferral) {
        apply(now, change, applied.isFromOlderCopy() ? EntryOrigin::OlderCopy : EntryOrigin::Owner);
        return;
    }
    defer(now, change, *deferral);
}

void FleetState::defer(TimePoint now, const RecordChange& change, Duration wait)
{
    deferred_.insert_or_assign(change.key, DeferredChange { change, now, wait });
    fleetLog.info("Change of an older copy deferred.", { { "key", change.key }, { "exists", change.value.has_value() }, { "revision", change.revision }, { "wait_ms", std::chrono::duration_cast<std::chrono::milliseconds>(wait).count() } });
}

// For how long a change of an older copy must not take effect, since its owner, who alone knows what is true now, has not written it again
// yet: an evacuation that began or ended after the copy was made, and an instance that ended or was started again. Backend servers'
// entries say themselves which one is later.
std::optional<Duration> FleetState::deferralOf(const AppliedChange& applied) const
{
    const auto& change = applied.change;
    if (!applied.isFromOlderCopy())
        return std::nullopt;
    // What is still deferred is not in force, also if a later copy has the same.
    const auto found = deferred_.find(change.key);
    const bool isDeferred = found != deferred_.end() && found->second.change.value == change.value;
    if (change.value == applied.previous->value && !isDeferred)
        return std::nullopt;
    if (reader_.evacuatedDataCentre(change.key))
        return operatorsGrace;
    if (change.key.starts_with(instancesPrefix_) && change.value && !isKnownProcess(change))
        return instancesGrace;
    return std::nullopt;
}

// Whether the entry is that of a process that is still used. It may have written its entry again before the store was listed.
bool FleetState::isKnownProcess(const RecordChange& entry) const
{
    const auto found = members_.find(entry.key);
    const auto member = parseMember(*entry.value);
    return member && found != members_.end() && found->second.member.incarnation == member->incarnation;
}

// An operator may have written the entry again without this instance having heard of it, unless the store has confirmed since that nothing
// is missing.
bool FleetState::isDue(const DeferredChange& deferred, TimePoint now) const
{
    const auto end = deferred.since + deferred.wait;
    if (deferred.change.key.starts_with(reader_.operatorsPrefix()))
        return confirmedAt_ && *confirmedAt_ >= end;
    return now >= end;
}

void FleetState::applyDeferred(TimePoint now)
{
    std::vector<RecordChange> due;
    for (auto& [key, deferred] : deferred_) {
        // While the store is unavailable, nobody can write.
        if (unavailableSince())
            deferred.since = now;
        if (isDue(deferred, now))
            due.push_back(deferred.change);
    }
    for (const auto& change : due) {
        deferred_.erase(change.key);
        if (reader_.isConfiguration(change.key))
            adopt(change, reader_.readConfiguration(*change.value, change.revision));
        else
            apply(now, change, EntryOrigin::Owner);
    }
}

void FleetState::apply(TimePoint now, const RecordChange& change, EntryOrigin origin)
{
    if (change.key.starts_with(reader_.operatorsPrefix()))
        applyOperatorEntry(now, change);
    else if (change.key.starts_with(reader_.registryPrefix()))
        applyServerEntry(now, change, origin);
    else if (change.key.starts_with(instancesPrefix_))
        applyInstanceEntry(now, change, origin);
    else if (change.key == fleetSizeKeyOf(ownPrefix_))
        applyFleetSize(now, change);
    else if (change.key.starts_with(quarantinePrefixOf(ownPrefix_)))
        applyQuarantine(now, change, origin);
    else if (change.key.starts_with(versionsPrefixOf(ownPrefix_)))
        applyVersions(now, change);
}

bool FleetState::isBehindEra(StoreEra era) const
{
    return std::any_of(positions_.begin(), positions_.end(), [era](Revision position) { return position.era() < era; });
}

// A peer or the store has everything up to `position`, which may be of a later era.
void FleetState::onPosition(TimePoint now, std::size_t index, Revision position)
{
    const auto known = positions_[index];
    const bool isInEra = std::any_of(positions_.begin(), positions_.end(), [position](Revision other) { return other.era() >= position.era(); });
    if (!isInEra)
        eraSince_ = now;
    if (known == Revision() || position.era() <= known.era())
        return;
    for (auto& [key, deferred] : deferred_)
        deferred.since = now;
    fleetLog.warning("The store came back from an older copy.", { { "prefix", prefixes_[index] }, { "known", known }, { "position", position }, { "configuration_version", configurationVersion_ } });
}

void FleetState::applyQuarantine(TimePoint now, const RecordChange& change, EntryOrigin origin)
{
    const auto part = parsePart(std::string_view(change.key).substr(quarantinePrefixOf(ownPrefix_).size()));
    if (!part) {
        oddEntries_.report(now, change.key, "it names no prompt part");
        return;
    }
    const auto removal = origin == EntryOrigin::OlderCopy ? QuarantineEntry::Lost : QuarantineEntry::Deleted;
    quarantineChanges_.push_back({ *part, change.value ? QuarantineEntry::Written : removal });
    fleetLog.info("Quarantine changed.", { { "part", formatPart(*part) }, { "quarantined", change.value.has_value() }, { "older_copy", origin == EntryOrigin::OlderCopy }, { "revision", change.revision } });
}

void FleetState::applyVersions(TimePoint now, const RecordChange& change)
{
    const auto service = serviceOfVersionsKey(ownPrefix_, change.key);
    if (!service) {
        oddEntries_.report(now, change.key, "it names no service");
        return;
    }
    std::optional<VersionRecord> record;
    if (change.value) {
        record = parseVersions(*change.value, change.revision);
        if (!record) {
            oddEntries_.report(now, change.key, "it is no record of software versions");
            record = unreadableVersions(change.revision);
        }
    }
    versionRecordChanges_.push_back({ *service, std::move(record), change.revision });
}

void FleetState::applyFleetSize(TimePoint now, const RecordChange& change)
{
    storedFleetSize_ = 0;
    if (!change.value)
        return;
    const auto& value = *change.value;
    std::size_t size = 0;
    const auto [end, error] = std::from_chars(value.data(), value.data() + value.size(), size);
    if (error != std::errc {} || size > maxInstances) {
        oddEntries_.report(now, change.key, "it is not the size of a fleet");
        return;
    }
    storedFleetSize_ = size;
    fleetSize_ = std::max(fleetSize_, size);
}

void FleetState::applyOperatorEntry(TimePoint now, const RecordChange& change)
{
    if (const auto dataCentre = reader_.evacuatedDataCentre(change.key)) {
        if (change.value)
            evacuated_.insert(*dataCentre);
        else
            evacuated_.erase(*dataCentre);
        registry_.setEvacuated(now, evacuated_);
        fleetLog.info("Evacuation changed.", { { "data_centre", *dataCentre }, { "evacuated", change.value.has_value() }, { "revision", change.revision } });
        return;
    }
    if (reader_.isConfiguration(change.key) && change.value)
        applyConfiguration(now, change);
}

void FleetState::applyConfiguration(TimePoint now, const RecordChange& change)
{
    try {
        auto document = reader_.readConfiguration(*change.value, change.revision);
        // Within an era, the store orders the configurations. An older copy has lost those that were acknowledged last.
        const bool isOfLaterEra = snapshot_ && snapshot_->revision().era() < change.revision.era();
        if (!isOfLaterEra || document.version >= configurationVersion_) {
            adopt(change, std::move(document));
            return;
        }
        fleetLog.warning("Configuration of an older copy not taken.", { { "revision", change.revision }, { "version", document.version }, { "in_force", snapshot_->revision() }, { "version_in_force", configurationVersion_ } });
        defer(now, change, lowerVersionGrace);
    } catch (const std::exception& error) {
        // The previous configuration stays in force.
        fleetLog.error("Configuration is invalid.", { { "revision", change.revision }, { "reason", error.what() } });
    }
}

void FleetState::adopt(const RecordChange& change, ConfigurationDocument document)
{
    configurationVersion_ = document.version;
    snapshot_ = std::make_shared<const Snapshot>(change.revision, document.records);
    callerLimits_ = document.callers;
    fleetLog.info("Configuration in force.", { { "revision", change.revision }, { "version", document.version }, { "records", document.records.size() } });
}

// An entry that can't be read must not keep the others from being applied.
std::optional<RegisteredServer> FleetState::readServer(TimePoint now, const RecordChange& change)
{
    std::string reason = "it describes no backend server";
    try {
        if (auto server = reader_.readServer(change.key, *change.value))
            return server;
    } catch (const std::exception& error) {
        reason = error.what();
    }
    oddEntries_.report(now, change.key, reason);
    return std::nullopt;
}

void FleetState::applyServerEntry(TimePoint now, const RecordChange& change, EntryOrigin origin)
{
    const auto server = change.value ? readServer(now, change) : std::nullopt;
    if (!server) {
        const auto id = reader_.serverIdOf(change.key);
        if (registry_.onRemoved(now, id, origin))
            fleetLog.info("Backend server's entry removed.", { { "server", id }, { "revision", change.revision }, { "older_copy", origin == EntryOrigin::OlderCopy }, { "store", storeState(now) } });
        return;
    }
    if (!registry_.onEntry(now, *server, origin))
        return;
    const auto coldLeft = std::chrono::duration_cast<std::chrono::milliseconds>(server->coldLeft).count();
    fleetLog.info("Backend server's entry changed.", { { "server", server->id }, { "service", server->service }, { "data_centre", server->dataCentre }, { "draining", server->state == RegistrationState::Draining }, { "started", server->started }, { "cold_ms", coldLeft }, { "revision", change.revision }, { "store", storeState(now) } });
}

std::string FleetState::storeState(TimePoint now) const
{
    if (!unavailableSince())
        return "followed";
    return fmt::format("away:{}ms", std::chrono::duration_cast<std::chrono::milliseconds>(now - *unavailableSince()).count());
}

std::optional<Member> FleetState::readMember(TimePoint now, const RecordChange& change)
{
    auto member = parseMember(*change.value);
    if (member && change.key == instancesPrefix_ + member->id.value())
        return member;
    oddEntries_.report(now, change.key, member ? "it names another instance" : "it describes no instance");
    return std::nullopt;
}

void FleetState::applyInstanceEntry(TimePoint now, const RecordChange& change, EntryOrigin origin)
{
    const auto member = change.value ? readMember(now, change) : std::nullopt;
    if (member) {
        members_[change.key] = { *member, std::nullopt };
        return;
    }
    const auto found = members_.find(change.key);
    if (found == members_.end() || found->second.removedAt)
        return;
    found->second.removedAt = now;
    // A running instance writes its entry again when it next renews its lease.
    found->second.grace = origin == EntryOrigin::OlderCopy ? registry_.removalGracePeriod().recoveryGrace() : Duration::zero();
}

} // namespace Ibisturn
