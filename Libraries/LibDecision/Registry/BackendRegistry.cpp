#include <LibDecision/Registry/BackendRegistry.h>

#include <algorithm>

namespace Ibisturn {

namespace {

/// After an evacuation ends, a backend server is treated as cold until it writes a new entry, but at most for this long.
constexpr Duration maxAssumedCold = std::chrono::seconds(4);

} // namespace

BackendRegistry::BackendRegistry(RemovalLimits limits)
    : removalGracePeriod_(limits)
{
}

bool BackendRegistry::onEntry(TimePoint now, const RegisteredServer& server)
{
    auto& entry = entries_[server.id];
    auto& known = entry.state.server;
    const bool isSameIncarnation = !known.id.isEmpty() && known.started == server.started;
    if (!isSameIncarnation)
        entry.coldSequence.reset();
    if (entry.coldSequence && server.sequence > *entry.coldSequence)
        entry.coldSequence.reset();
    const bool isChanged = !isSameIncarnation || entry.removedAt || known.state != server.state || known.endpoint != server.endpoint
        || known.service != server.service || known.slots != server.slots;
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

void BackendRegistry::onRemoved(TimePoint now, const BackendServerId& id)
{
    const auto found = entries_.find(id);
    if (found == entries_.end() || found->second.removedAt)
        return;
    found->second.removedAt = now;
    found->second.regularGrace = removalGracePeriod_.regularGrace(now, confirmedAt_);
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
    std::vector<BackendServerId> removed;
    for (const auto& [id, entry] : entries_) {
        if (entry.removedAt && !removalGracePeriod_.isInGracePeriod(*entry.removedAt, now, entry.regularGrace))
            removed.push_back(id);
    }
    for (const auto& id : removed)
        entries_.erase(id);
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

} // namespace Ibisturn
