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

void BackendRegistry::onEntry(TimePoint now, const RegisteredServer& server)
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
    if (isChanged || before != entry.state.coldUntil)
        ++version_;
}

void BackendRegistry::onRemoved(TimePoint now, const BackendServerId& id)
{
    const auto found = entries_.find(id);
    if (found != entries_.end() && !found->second.removedAt)
        found->second.removedAt = now;
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

void BackendRegistry::advance(TimePoint now)
{
    const auto removed = std::erase_if(entries_, [this, now](const auto& item) { return item.second.removedAt && !removalGracePeriod_.isInGracePeriod(*item.second.removedAt, now); });
    if (removed > 0)
        ++version_;
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
