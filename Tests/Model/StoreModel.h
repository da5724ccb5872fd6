#pragma once

#include <LibCore/Clock.h>
#include <LibDecision/Configuration/ConfigurationMessages.h>
#include <LibPlatform/StoreClient.h>

#include <map>
#include <optional>
#include <string>
#include <vector>

namespace Ibisturn::Model {

/// The platform's store in virtual time: revisions, leases, a history that can be compacted, and reads at an older revision.
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

    /// The revision of the last change.
    Revision revision() const { return Revision(static_cast<std::int64_t>(history_.size())); }

    /// All entries below `prefix` as they were at `position`.
    std::vector<RecordChange> list(const std::string& prefix, Revision position) const;

    /// The changes below `prefix` after revision `after`, up to and including `upTo`; nothing if some of that history has been
    /// compacted.
    std::optional<std::vector<RecordChange>> changes(const std::string& prefix, Revision after, Revision upTo) const;

private:
    struct Lease {
        Duration timeToLive {};
        TimePoint expiresAt;
        std::vector<std::string> keys;
    };

    /// One change for each revision.
    std::vector<RecordChange> history_;
    Revision compactedRevision_;
    std::map<LeaseId, Lease> leases_;
    std::map<std::string, LeaseId> leaseByKey_;
    std::int64_t lastLease_ { 0 };
};

} // namespace Ibisturn::Model
