#pragma once

#include <LibDecision/Registry/RegisteredServer.h>
#include <LibDecision/Registry/RemovalHold.h>

#include <map>
#include <optional>
#include <set>
#include <vector>

namespace Ibisturn {

/// What is to be known of one backend server before a request goes to it.
struct BackendState {
    RegisteredServer server;
    /// Until then it bears its service's cold rate only.
    TimePoint coldUntil {};
};

/// Which backend servers may be used: those whose entries stand in the registry and that neither leave nor lie in a data
/// centre that is evacuated. Entries that lapse while the store is away stay in force.
/// Thread safety: one thread at a time.
class BackendRegistry {
public:
    explicit BackendRegistry(RemovalLimits limits = {});

    /// Changes the limits.
    void setLimits(RemovalLimits limits) { hold_.setLimits(limits); }

    /// A backend server's entry was written. Precondition: entries of one id come in the order of their revisions.
    void onEntry(TimePoint now, const RegisteredServer& server);

    /// An entry was removed, or can't be read any more.
    void onRemoved(TimePoint now, const BackendServerId& id);

    /// Another instance told all that it knows, and what it knows was settled.
    void onTold(TimePoint now) { hold_.onTold(now); }

    /// The store does not answer.
    void onStoreAway(TimePoint now) { hold_.onStoreAway(now); }

    /// The store answers again and the entries it holds were taken in.
    void onStoreBack(TimePoint now) { hold_.onStoreBack(now); }

    /// What decides how long entries that went are held; it serves other entries of the store as well.
    const RemovalHold& hold() const { return hold_; }

    /// Nothing more may go to the backend servers of these data centres.
    void setEvacuated(TimePoint now, const std::set<DataCentreId>& dataCentres);

    /// Drops the backend servers whose removal is no longer held.
    void advance(TimePoint now);

    /// The backend servers that a request may go to, by id. Precondition: advance() was called for the present time.
    std::vector<BackendState> usable() const;

    /// Grows when usable() may have changed.
    std::uint64_t version() const { return version_; }

    /// Whether the backend servers of `dataCentre` may be used.
    bool isEvacuated(const DataCentreId& dataCentre) const { return evacuated_.contains(dataCentre); }

private:
    struct Entry {
        BackendState state;
        /// When its entry was removed.
        std::optional<TimePoint> removedAt;
        /// Taken as cold until an entry after this one says otherwise.
        std::optional<std::int64_t> suspectedSince;
    };

    RemovalHold hold_;
    std::map<BackendServerId, Entry> entries_;
    std::set<DataCentreId> evacuated_;
    std::uint64_t version_ { 1 };
};

} // namespace Ibisturn
