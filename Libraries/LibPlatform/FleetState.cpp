#include <LibPlatform/FleetState.h>

#include <LibCore/Error.h>
#include <LibCore/Log.h>
#include <LibPlatform/InstanceLease.h>

#include <algorithm>
#include <charconv>
#include <utility>

namespace Ibisturn {

namespace {

constexpr Log fleetLog("fleet");
/// Deletions that are kept so that they can be sent to peers.
constexpr std::size_t maxDeletions = 512;
constexpr std::size_t maxInstances = 100'000;
/// For shorter outages of the store, requesting its changes from peers is not worth while.
constexpr Duration minOutage = std::chrono::milliseconds(500);

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

void FleetState::onListing(TimePoint now, const EntryFollower::Listing& listing)
{
    const auto index = indexOf(listing.prefix);
    if (!index)
        return;
    listed_.insert(listing.prefix);
    auto entries = listing.entries;
    std::erase_if(entries, [this](const RecordChange& entry) { return isObsolete(entry); });
    for (const auto& change : mirror_.applyListing(listing.prefix, listing.position, entries))
        apply(now, change);
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
        if (!isObsolete(change) && mirror_.apply(change))
            apply(now, change);
    }
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
            positions_[index] = Revision();
            return false;
        }
        if (known)
            existing.push_back(*known);
    }
    for (const auto& change : mirror_.applyListing(prefix, position, existing))
        apply(now, change);
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
    return known.removedAt && !registry_.removalGracePeriod().isInGracePeriod(*known.removedAt, now, Duration::zero()) && now - known.lastMessageAt >= messageGrace;
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

void FleetState::apply(TimePoint now, const RecordChange& change)
{
    if (change.key.starts_with(reader_.operatorsPrefix()))
        applyOperatorEntry(now, change);
    else if (change.key.starts_with(reader_.registryPrefix()))
        applyServerEntry(now, change);
    else if (change.key.starts_with(instancesPrefix_))
        applyInstanceEntry(now, change);
    else if (change.key == fleetSizeKeyOf(ownPrefix_) && change.value)
        applyFleetSize(*change.value);
    else if (change.key.starts_with(quarantinePrefixOf(ownPrefix_)))
        applyQuarantine(change);
}

void FleetState::applyQuarantine(const RecordChange& change)
{
    const auto part = parsePart(std::string_view(change.key).substr(quarantinePrefixOf(ownPrefix_).size()));
    if (!part) {
        fleetLog.warning("Quarantine entry names no prompt part.", { { "key", change.key }, { "revision", change.revision } });
        return;
    }
    quarantineChanges_.push_back({ *part, change.value.has_value() });
    fleetLog.info("Quarantine changed.", { { "part", formatPart(*part) }, { "quarantined", change.value.has_value() }, { "revision", change.revision } });
}

void FleetState::applyFleetSize(const std::string& value)
{
    std::size_t size = 0;
    const auto [end, error] = std::from_chars(value.data(), value.data() + value.size(), size);
    if (error != std::errc {} || size > maxInstances) {
        fleetLog.warning("Fleet size entry is not a valid number.", { { "value", value } });
        return;
    }
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
    if (!reader_.isConfiguration(change.key) || !change.value)
        return;
    try {
        auto document = reader_.readConfiguration(*change.value, change.revision);
        snapshot_ = std::make_shared<const Snapshot>(change.revision, document.records);
        callerLimits_ = document.callers;
        fleetLog.info("Configuration in force.", { { "revision", change.revision }, { "version", document.version }, { "records", document.records.size() } });
    } catch (const std::exception& error) {
        // The previous configuration stays in force.
        fleetLog.error("Configuration is invalid.", { { "revision", change.revision }, { "reason", error.what() } });
    }
}

// An entry that can't be read must not keep the others from being applied.
std::optional<RegisteredServer> FleetState::readServer(const RecordChange& change) const
{
    std::string reason = "it does not describe a backend server";
    try {
        if (auto server = reader_.readServer(change.key, *change.value))
            return server;
    } catch (const std::exception& error) {
        reason = error.what();
    }
    fleetLog.warning("Registry entry is invalid.", { { "key", change.key }, { "revision", change.revision }, { "reason", reason } });
    return std::nullopt;
}

void FleetState::applyServerEntry(TimePoint now, const RecordChange& change)
{
    const auto server = change.value ? readServer(change) : std::nullopt;
    if (!server) {
        const auto id = reader_.serverIdOf(change.key);
        registry_.onRemoved(now, id);
        fleetLog.info("Backend server's entry removed.", { { "server", id }, { "revision", change.revision }, { "store", storeState(now) } });
        return;
    }
    if (!registry_.onEntry(now, *server))
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

void FleetState::applyInstanceEntry(TimePoint now, const RecordChange& change)
{
    const auto member = change.value ? parseMember(*change.value) : std::nullopt;
    if (member) {
        members_[change.key] = { *member, std::nullopt };
        return;
    }
    const auto found = members_.find(change.key);
    if (found != members_.end() && !found->second.removedAt)
        found->second.removedAt = now;
}

} // namespace Ibisturn
