#include <LibDecision/Registry/BackendRegistry.h>

#include <algorithm>

namespace Ibisturn {

namespace {

/// After an evacuation ends, a backend server is treated as cold until it writes a new entry, but at most for this long.
constexpr Duration maxAssumedCold = std::chrono::seconds(4);
/// The entry of a process that no longer runs expires within three heartbeats of 1.2 s after the store has come back, and its removal
/// reaches every instance some seconds later. A running process ends the wait by writing its entry again.
constexpr Duration deferral = std::chrono::seconds(8);
/// Several times the age of a copy that a store comes back from.
constexpr Duration endedMemory = std::chrono::seconds(60);

} // namespace

BackendRegistry::BackendRegistry(RemovalLimits limits)
    : removalGracePeriod_(limits)
{
}

// Whether a later entry of the same process is known.
bool BackendRegistry::isSuperseded(const RegisteredServer& server) const
{
    const auto found = entries_.find(server.id);
    if (found == entries_.end())
        return false;
    const auto& known = found->second.state.server;
    return known.started > server.started || (known.started == server.started && known.sequence > server.sequence);
}

// Whether the entry of the same process, or of a later one, was removed after this one had been written.
bool BackendRegistry::hasEnded(const RegisteredServer& server) const
{
    const auto found = ended_.find(server.id);
    if (found == ended_.end())
        return false;
    const auto& ended = found->second;
    return ended.started > server.started || (ended.started == server.started && ended.sequence >= server.sequence);
}

bool BackendRegistry::onEntry(TimePoint now, const RegisteredServer& server, EntryOrigin origin)
{
    deferred_.erase(server.id);
    if (origin == EntryOrigin::OlderCopy && hasEnded(server)) {
        deferred_.insert_or_assign(server.id, DeferredEntry { server, now });
        return false;
    }
    if (origin == EntryOrigin::OlderCopy && isSuperseded(server)) {
        // An even older copy may have lacked it.
        entries_.at(server.id).removedAt.reset();
        return false;
    }
    ended_.erase(server.id);
    auto& entry = entries_[server.id];
    auto& known = entry.state.server;
    const bool isSameIncarnation = !known.id.isEmpty() && known.started == server.started;
    if (!isSameIncarnation) {
        entry.coldSequence.reset();
        entry.state.registeredAt = now;
    }
    if (entry.coldSequence && server.sequence > *entry.coldSequence)
        entry.coldSequence.reset();
    const bool isChanged = !isSameIncarnation || entry.removedAt || known.state != server.state || known.endpoint != server.endpoint
        || known.service != server.service || known.version != server.version || known.slots != server.slots;
    known = server;
    entry.removedAt.reset();
    const auto coldUntil = server.coldLeft > Duration::zero() ? now + server.coldLeft : TimePoint {};
    const auto before = entry.state.coldUntil;
    if (!entry.coldSequence)
        entry.state.coldUntil = coldUntil;
    if (!isChanged && before == entry.state.coldUntil)
        return false;
    ++version_;
    return true;
}

bool BackendRegistry::onRemoved(TimePoint now, const BackendServerId& id, EntryOrigin origin)
{
    deferred_.erase(id);
    const auto found = entries_.find(id);
    if (found == entries_.end() || found->second.removedAt)
        return false;
    const auto& server = found->second.state.server;
    found->second.removedAt = now;
    if (origin == EntryOrigin::OlderCopy) {
        found->second.regularGrace = removalGracePeriod_.recoveryGrace();
        return true;
    }
    found->second.regularGrace = removalGracePeriod_.regularGrace(now, confirmedAt_);
    ended_.insert_or_assign(id, EndedServer { server.started, server.sequence, now });
    return true;
}

void BackendRegistry::setEvacuated(TimePoint now, const std::set<DataCentreId>& dataCentres)
{
    if (dataCentres == evacuated_)
        return;
    ++version_;
    for (auto& [id, entry] : entries_) {
        const auto& dataCentre = entry.state.server.dataCentre;
        if (!evacuated_.contains(dataCentre) || dataCentres.contains(dataCentre))
            continue;
        // It served no requests during the evacuation, and its last entry may predate it.
        entry.coldSequence = entry.state.server.sequence;
        entry.state.coldUntil = std::max(entry.state.coldUntil, now + maxAssumedCold);
    }
    evacuated_ = dataCentres;
}

std::vector<BackendServerId> BackendRegistry::advance(TimePoint now)
{
    std::erase_if(ended_, [now](const auto& ended) { return now - ended.second.at > endedMemory; });
    std::vector<RegisteredServer> due;
    for (auto& [id, deferred] : deferred_) {
        // While the store is unavailable, nobody can write.
        if (removalGracePeriod_.unavailableSince())
            deferred.since = now;
        if (now - deferred.since >= deferral)
            due.push_back(deferred.server);
    }
    for (const auto& server : due)
        onEntry(now, server);
    std::vector<BackendServerId> removed;
    for (const auto& [id, entry] : entries_) {
        if (entry.removedAt && !removalGracePeriod_.isInGracePeriod(*entry.removedAt, now, entry.regularGrace))
            removed.push_back(id);
    }
    for (const auto& id : removed) {
        const auto& server = entries_.at(id).state.server;
        ended_.insert_or_assign(id, EndedServer { server.started, server.sequence, now });
        entries_.erase(id);
    }
    if (!removed.empty())
        ++version_;
    return removed;
}

std::vector<BackendState> BackendRegistry::usable() const
{
    std::vector<BackendState> states;
    for (const auto& [id, entry] : entries_) {
        const auto& server = entry.state.server;
        if (server.state == RegistrationState::Ready && !evacuated_.contains(server.dataCentre))
            states.push_back(entry.state);
    }
    return states;
}

std::map<ServiceId, std::set<SoftwareVersion>> BackendRegistry::registeredVersions() const
{
    std::map<ServiceId, std::set<SoftwareVersion>> versions;
    for (const auto& [id, entry] : entries_)
        versions[entry.state.server.service].insert(entry.state.server.version);
    return versions;
}

} // namespace Ibisturn
