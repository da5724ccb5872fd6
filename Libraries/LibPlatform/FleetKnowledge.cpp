#include <LibPlatform/FleetKnowledge.h>

#include <LibCore/Error.h>
#include <LibCore/Log.h>
#include <LibPlatform/InstanceLease.h>

#include <charconv>
#include <utility>

namespace Ibisturn {

namespace {

constexpr Log fleetLog("fleet");
/// Deletions that are kept to tell peers of them.
constexpr std::size_t mostDeletions = 512;
constexpr std::size_t mostInstances = 100'000;
/// A store that is silent for less is not worth asking peers instead.
constexpr Duration patienceWithStore = std::chrono::milliseconds(500);

} // namespace

std::string instancesPrefixOf(const std::string& ownPrefix)
{
    return ownPrefix + "instances/";
}

std::string fleetSizeKeyOf(const std::string& ownPrefix)
{
    return ownPrefix + "fleet-size";
}

FleetKnowledge::FleetKnowledge(const DocumentReader& reader, std::string ownPrefix, RegistryLimits limits)
    : reader_(reader)
    , ownPrefix_(std::move(ownPrefix))
    , instancesPrefix_(instancesPrefixOf(ownPrefix_))
    , limits_(limits)
    , registry_(limits)
{
}

void FleetKnowledge::setLimits(RegistryLimits limits)
{
    limits_ = limits;
    registry_.setLimits(limits);
}

std::vector<std::string> FleetKnowledge::prefixes() const
{
    return { reader_.operatorsPrefix(), reader_.registryPrefix(), ownPrefix_ };
}

void FleetKnowledge::onListing(TimePoint now, const EntryFollower::Listing& listing)
{
    listed_.insert(listing.prefix);
    for (const auto& change : mirror_.applyListing(listing.prefix, listing.position, listing.entries))
        take(now, change);
}

void FleetKnowledge::onChanges(TimePoint now, const std::vector<RecordChange>& changes)
{
    for (const auto& change : changes) {
        if (mirror_.apply(change))
            take(now, change);
    }
}

void FleetKnowledge::onStoreAway(TimePoint now)
{
    if (!awaySince_)
        awaySince_ = now;
    registry_.onStoreAway(now);
}

void FleetKnowledge::onStoreBack(TimePoint now)
{
    if (std::exchange(awaySince_, std::nullopt))
        backSince_ = now;
    registry_.onStoreBack(now);
}

bool FleetKnowledge::isStoreAway(TimePoint now) const
{
    return awaySince_ && now - *awaySince_ > patienceWithStore;
}

void FleetKnowledge::advance(TimePoint now)
{
    registry_.advance(now);
    mirror_.forgetDeletions(mostDeletions);
    std::erase_if(members_, [this, now](const auto& entry) {
        const auto& known = entry.second;
        if (!known.removedAt || awaySince_)
            return false;
        // After the store was away, living instances write their entries again.
        const auto hold = backSince_ ? std::max(*known.removedAt, *backSince_ + limits_.returnHold) : *known.removedAt;
        return now >= hold;
    });
}

std::vector<Member> FleetKnowledge::members() const
{
    std::vector<Member> members;
    for (const auto& [key, known] : members_)
        members.push_back(known.member);
    return members;
}

std::vector<RecordChange> FleetKnowledge::changesAfter(Revision revision) const
{
    std::vector<RecordChange> changes;
    for (const auto& prefix : prefixes()) {
        for (auto& change : mirror_.changesBelow(prefix)) {
            if (change.revision > revision)
                changes.push_back(std::move(change));
        }
    }
    return changes;
}

void FleetKnowledge::take(TimePoint now, const RecordChange& change)
{
    newest_ = std::max(newest_, change.revision);
    if (change.key.starts_with(reader_.operatorsPrefix()))
        takeOperators(now, change);
    else if (change.key.starts_with(reader_.registryPrefix()))
        takeServer(now, change);
    else if (change.key.starts_with(instancesPrefix_))
        takeMember(now, change);
    else if (change.key == fleetSizeKeyOf(ownPrefix_) && change.value)
        takeFleetSize(*change.value);
}

void FleetKnowledge::takeFleetSize(const std::string& value)
{
    std::size_t size = 0;
    const auto [end, error] = std::from_chars(value.data(), value.data() + value.size(), size);
    if (error != std::errc {} || size > mostInstances) {
        fleetLog.warning("Size of the fleet not readable.", { { "value", value } });
        return;
    }
    fleetSize_ = std::max(fleetSize_, size);
}

void FleetKnowledge::takeOperators(TimePoint now, const RecordChange& change)
{
    if (const auto dataCentre = reader_.evacuatedBy(change.key)) {
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
    } catch (const Error& error) {
        // The configuration before it stays in force.
        fleetLog.error("Configuration not readable.", { { "revision", change.revision }, { "reason", error.what() } });
    }
}

void FleetKnowledge::takeServer(TimePoint now, const RecordChange& change)
{
    const auto server = change.value ? reader_.readServer(change.key, *change.value) : std::nullopt;
    if (change.value && !server)
        fleetLog.warning("Registry entry names no backend server.", { { "key", change.key }, { "revision", change.revision } });
    if (server)
        registry_.onEntry(now, *server);
    else
        registry_.onRemoved(now, reader_.serverIdOf(change.key));
}

void FleetKnowledge::takeMember(TimePoint now, const RecordChange& change)
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
