#pragma once

#include <LibCore/Clock.h>
#include <LibDecision/Configuration/ConfigurationMessages.h>
#include <LibPlatform/StoreClient.h>

#include <map>
#include <optional>
#include <string>
#include <vector>

namespace Ibisturn::Model {

/// The platform's store in virtual time: revisions, leases, a history that can be compacted, reads at an older revision, and a return
/// from an older copy.
/// Thread safety: one thread.
class StoreModel {
public:
    /// Writes a key, under a lease if one is given, and returns the revision.
    Revision put(const std::string& key, const std::string& value, std::optional<LeaseId> lease = std::nullopt);

    /// Deletes a key that exists.
    void remove(const std::string& key);

    /// Grants a lease that expires after `timeToLive` unless it is renewed.
    LeaseId grant(TimePoint now, Duration timeToLive);

    /// Renews a lease; false if it has expired.
    bool renew(TimePoint now, LeaseId lease);

    /// Removes the leases that have expired by `now`, and deletes their keys.
    void expire(TimePoint now);

    /// Extends all leases, as a store does after an outage in which its lease clock stood still.
    void extendLeases(Duration by);

    /// Drops the history so far, so that watches can't start before the present revision.
    void compact() { compactedRevision_ = revision(); }

    /// Goes back to how the store was at `revision` of the present era, and begins the next one. Leases that were granted later are gone, the
    /// others run anew from `now`.
    void restore(TimePoint now, Revision revision);

    /// Hides the eras from those who read, as if the store did not tell them.
    void hideEras() { areErasHidden_ = true; }

    StoreEra era() const { return areErasHidden_ ? StoreEra() : era_; }

    /// The revision of the last change.
    Revision revision() const { return Revision(static_cast<std::int64_t>(history_.size()), era()); }

    /// All entries below `prefix` as they were at `position`.
    std::vector<RecordChange> list(const std::string& prefix, Revision position) const;

    /// The changes below `prefix` after revision `after`, up to and including `upTo`; nothing if some of that history has been
    /// compacted, or is of another era.
    std::optional<std::vector<RecordChange>> changes(const std::string& prefix, Revision after, Revision upTo) const;

private:
    struct Lease {
        Duration timeToLive {};
        TimePoint expiresAt;
        /// How many changes there were when it was granted.
        std::size_t grantedAfter { 0 };
        /// How many there were when it expired; unset while it lasts. A copy made before has it.
        std::optional<std::size_t> endedAfter;
        std::vector<std::string> keys;
    };

    struct Written {
        RecordChange change;
        std::optional<LeaseId> lease;
    };
    RecordChange withEra(const RecordChange& change) const { return { change.key, change.value, Revision(change.revision.number(), era()) }; }

    /// One change for each revision.
    std::vector<Written> history_;
    StoreEra era_;
    bool areErasHidden_ { false };
    Revision compactedRevision_;
    std::map<LeaseId, Lease> leases_;
    std::map<std::string, LeaseId> leaseByKey_;
    std::int64_t lastLease_ { 0 };
};

} // namespace Ibisturn::Model
