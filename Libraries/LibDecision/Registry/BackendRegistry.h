#pragma once

#include <LibDecision/Registry/RegisteredServer.h>

#include <map>
#include <optional>
#include <set>
#include <vector>

namespace Ibisturn {

/// How a BackendRegistry reacts.
struct RegistryLimits {
    /// How long a backend server whose entry went is still used, so that an entry which comes back at once does no
    /// harm. It must end, with the time that a change takes to arrive, within the time that a leaving one serves on.
    Duration removalHold { std::chrono::milliseconds(1200) };
    /// The same after the store was away: by then living backend servers have written their entries again.
    Duration returnHold { std::chrono::milliseconds(2000) };
};

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
    explicit BackendRegistry(RegistryLimits limits = {});

    /// Changes the limits.
    void setLimits(RegistryLimits limits) { limits_ = limits; }

    /// A backend server's entry was written. Precondition: entries of one id come in the order of their revisions.
    void onEntry(TimePoint now, const RegisteredServer& server);

    /// An entry was removed, or can't be read any more.
    void onRemoved(TimePoint now, const BackendServerId& id);

    /// The store does not answer.
    void onStoreAway(TimePoint now);

    /// The store answers again and the entries it holds were taken in.
    void onStoreBack(TimePoint now);

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

    bool isHeld(const Entry& entry, TimePoint now) const;

    RegistryLimits limits_;
    std::map<BackendServerId, Entry> entries_;
    std::set<DataCentreId> evacuated_;
    std::optional<TimePoint> awaySince_;
    std::optional<TimePoint> backSince_;
    std::uint64_t version_ { 1 };
};

} // namespace Ibisturn
