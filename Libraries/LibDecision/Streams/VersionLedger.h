#pragma once

#include <LibCore/Clock.h>
#include <LibCore/Identifier.h>
#include <LibCore/Revision.h>
#include <LibDecision/Registry/BackendRegistry.h>

#include <map>
#include <optional>
#include <set>
#include <vector>

namespace Ibisturn {

/// The software versions of one service that may have begun streams that callers can still resume, as the store has them.
struct VersionRecord {
    std::set<SoftwareVersion> listed;
    std::set<SoftwareVersion> retiring;
    Revision revision;
};

/// A record to write if the store still has `expected`; zero if it must not exist yet.
struct LedgerWrite {
    ServiceId service;
    std::set<SoftwareVersion> versions;
    Revision expected;
};

/// Which software versions may begin resumable streams, and which can have begun those that are not known otherwise. A version is listed in
/// the store before its first stream begins, and removed when none of its backend servers has been registered for the lifetime of a stream.
/// If the store lists a single version of a service, that one began every stream of the service.
/// Thread safety: one thread at a time.
class VersionLedger {
public:
    /// Sets how long a stream can last, with all resumptions.
    void setLifetime(Duration lifetime);

    /// The store has this record of a service, or has none.
    void onRecord(TimePoint now, const ServiceId& service, const std::optional<VersionRecord>& record);

    /// The store came back from an older copy, which may lack versions that were listed.
    void onHistoryLost(TimePoint now);

    /// The versions that may begin streams, for each service.
    std::map<ServiceId, std::set<SoftwareVersion>> listed() const;

    /// A resumption waits for a proof, so the records must be read from the store.
    void requestProof(TimePoint now);

    /// Whether the records should be read now. Each read must be reported by beginRead() and then onRead() or onReadFailed().
    bool needsRead(TimePoint now) const;
    void beginRead(TimePoint now);
    /// A read that was begun at `startedAt` returned all records, as of the revision `position` or later.
    void onRead(TimePoint now, TimePoint startedAt, const std::map<ServiceId, VersionRecord>& records, Revision position);
    void onReadFailed(TimePoint now);

    /// The version that began every stream of the service that had begun by `since`; unset if several may have, or if the store has not
    /// been read since then.
    std::optional<SoftwareVersion> onlyVersion(const ServiceId& service, TimePoint since) const;

    /// The records that this instance should write now. `registered` are all registered backend servers, `rank` is the position of this instance
    /// among those that may write; the first one writes at once, the others only if nobody has. The result of each write must be reported
    /// by onRecord() or onWriteFailed().
    std::vector<LedgerWrite> takeDueWrites(TimePoint now, const std::vector<RegisteredServer>& registered, std::size_t rank);
    void onWriteFailed(TimePoint now, const ServiceId& service);

private:
    std::map<ServiceId, std::set<SoftwareVersion>> stubListed_;
    std::optional<TimePoint> stubReadAt_;
    bool isStubWanted_ { false };
};

} // namespace Ibisturn
