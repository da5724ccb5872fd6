#pragma once

#include <LibCore/Clock.h>
#include <LibCore/Identifier.h>
#include <LibCore/Quantity.h>
#include <LibCore/Revision.h>

#include <cstdint>
#include <map>
#include <optional>
#include <vector>

namespace Ibisturn {

/// Numbers the leases under which this instance has held its locks; another lease is another term.
using LockTermId = Quantity<struct LockTermTag, std::int64_t>;

/// The time for which the store certainly keeps what this instance wrote under its lease.
struct LockTerm {
    LockTermId id;
    TimePoint end {};
};

/// How an attempt to write a lock to the store ended.
enum class LockOutcome : std::uint8_t {
    Held,
    /// Another process holds the lock.
    HeldByOther,
    /// The store did not answer, or refused the call.
    Failed,
};

struct LockAttempt {
    LockOutcome outcome { LockOutcome::Failed };
    /// The revision in which a lock that is held was written.
    Revision revision;
};

/// A lock in the store.
struct StoredLock {
    BackendServerId server;
    Revision revision;
};

/// Decides which instance of a region sends requests to a cold backend server. It can take only a few requests per second from
/// all instances together, so one instance at a time may send: the one whose lock the store holds. A lock lasts as long as
/// the lease under which it was written; an instance that can't renew its lease, or is shutting down, stops before the store
/// lets another one lock the server.
/// Thread safety: one thread at a time.
class ColdServerLocks {
public:
    /// Sets this instance's id and the live instances of its region, including itself.
    void setInstances(const InstanceId& self, const std::vector<InstanceId>& inRegion);

    /// Sets the current term; nullopt while the instance has no lease or is shutting down. Locks of another term are dropped.
    void setTerm(const std::optional<LockTerm>& term);

    /// The store has come back from an older copy, which may lack locks whose holders don't know it yet. No server is locked until their
    /// terms, which are at most `longestTerm`, have ended.
    void onLocksLost(TimePoint now, Duration longestTerm) { noLocksUntil_ = now + longestTerm; }

    /// Returns those of the cold backend servers that this instance should lock now. Each attempt must be reported by
    /// onAttempt().
    std::vector<BackendServerId> advance(TimePoint now, const std::vector<BackendServerId>& coldServers);

    /// An attempt to lock `server` ended. Attempts of another term than the current one are ignored.
    void onAttempt(TimePoint now, const BackendServerId& server, LockTermId term, const LockAttempt& attempt);

    /// Gives up locks on backend servers that have not been cold for some time, and returns them so that they are deleted from
    /// the store. Empty until there are enough for one transaction.
    std::vector<StoredLock> takeStale(TimePoint now);

    /// The current term's id; unset without a term.
    std::optional<LockTermId> term() const { return term_ ? std::optional(term_->id) : std::nullopt; }

    /// The backend servers that this instance may send requests to while they are cold, and until when.
    std::map<BackendServerId, TimePoint> held() const;

private:
    struct Lock {
        /// Set while the lock is held.
        std::optional<Revision> revision;
        bool isBeingWritten { false };
        TimePoint nextAttemptAt {};
        TimePoint lastColdAt {};
    };

    bool isPreferredFor(const BackendServerId& server) const;

    InstanceId self_;
    std::vector<InstanceId> instances_;
    std::optional<LockTerm> term_;
    std::map<BackendServerId, Lock> locks_;
    TimePoint noLocksUntil_ {};
};

} // namespace Ibisturn
