#pragma once

#include <LibDecision/Registry/RegisteredServer.h>
#include <LibDecision/Registry/RemovalGracePeriod.h>

#include <cstdint>
#include <map>
#include <optional>
#include <set>
#include <vector>

namespace Ibisturn {

/// What routing needs to know about a backend server.
struct BackendState {
    RegisteredServer server;
    /// Until then it sustains only its service's cold rate.
    TimePoint coldUntil {};
    /// When its entry first named the present process.
    TimePoint registeredAt {};
};

/// Where a change of an entry comes from.
enum class EntryOrigin : std::uint8_t {
    /// Its owner wrote or deleted it.
    Owner,
    /// The store came back from an older copy that has this entry, or lacks one that was known. The owner writes its entry again.
    OlderCopy,
};

/// The backend servers that may be used: those that have entries in the registry, are not draining, and are not in an
/// evacuated data centre. Entries that expire while the store is unavailable stay in force.
/// Thread safety: one thread at a time.
class BackendRegistry {
public:
    explicit BackendRegistry(RemovalLimits limits = {});

    void setLimits(RemovalLimits limits) { removalGracePeriod_.setLimits(limits); }

    /// A backend server's entry was written. Returns whether it changed anything that routing depends on. An entry of an older copy has
    /// no effect if a later one of the same process is known, and takes effect late if the later one was removed.
    /// Precondition: entries of one id arrive in the order of their revisions.
    bool onEntry(TimePoint now, const RegisteredServer& server, EntryOrigin origin = EntryOrigin::Owner);

    /// An entry was removed or became unreadable, or is missing in an older copy. Returns whether it was known.
    bool onRemoved(TimePoint now, const BackendServerId& id, EntryOrigin origin = EntryOrigin::Owner);

    /// The store confirmed at `confirmedAt` that no entry had been removed of which the registry does not know.
    void setConfirmedAt(const std::optional<TimePoint>& confirmedAt) { confirmedAt_ = confirmedAt; }

    /// A peer with a complete view of the store sent all its changes.
    void onPeerReport(TimePoint now) { removalGracePeriod_.onPeerReport(now); }

    /// The store became unavailable.
    void onStoreUnavailable(TimePoint now) { removalGracePeriod_.onStoreUnavailable(now); }

    /// The store is available again and its entries have been applied.
    void onStoreAvailable(TimePoint now) { removalGracePeriod_.onStoreAvailable(now); }

    /// The grace period of removed entries; also applied to other kinds of entries of the store.
    const RemovalGracePeriod& removalGracePeriod() const { return removalGracePeriod_; }

    /// Excludes the backend servers of these data centres.
    void setEvacuated(TimePoint now, const std::set<DataCentreId>& dataCentres);

    /// Removes the backend servers whose grace period has ended, and returns their ids.
    std::vector<BackendServerId> advance(TimePoint now);

    /// The backend servers that requests may be sent to, sorted by id. Precondition: advance() was called for the current
    /// time.
    std::vector<BackendState> usable() const;

    /// The software versions of all backend servers that may still run requests, for each service: also of those that are draining or
    /// evacuated, or whose entries were removed within the grace period. Precondition: as for usable().
    std::map<ServiceId, std::set<SoftwareVersion>> registeredVersions() const;

    /// Incremented whenever usable() or registeredVersions() may have changed.
    std::uint64_t version() const { return version_; }

    /// Whether `dataCentre` is evacuated, so that its backend servers must not be used.
    bool isEvacuated(const DataCentreId& dataCentre) const { return evacuated_.contains(dataCentre); }

private:
    /// A process whose entry was removed.
    struct EndedServer {
        StartTime started;
        std::int64_t sequence { 0 };
        TimePoint at {};
    };
    /// An entry of an older copy whose process may have ended.
    struct DeferredEntry {
        RegisteredServer server;
        /// Since when its owner could have written it again.
        TimePoint since {};
    };
    struct Entry {
        BackendState state;
        /// When the removal of the entry became known; unset while it exists.
        std::optional<TimePoint> removedAt;
        /// How long it is used from then on, while the store is available.
        Duration regularGrace {};
        /// Set after an evacuation: the server is treated as cold until an entry with a higher sequence number arrives.
        std::optional<std::int64_t> coldSequence;
    };

    bool isSuperseded(const RegisteredServer& server) const;
    bool hasEnded(const RegisteredServer& server) const;

    RemovalGracePeriod removalGracePeriod_;
    std::map<BackendServerId, Entry> entries_;
    std::map<BackendServerId, EndedServer> ended_;
    std::map<BackendServerId, DeferredEntry> deferred_;
    std::set<DataCentreId> evacuated_;
    std::optional<TimePoint> confirmedAt_;
    std::uint64_t version_ { 1 };
};

} // namespace Ibisturn
