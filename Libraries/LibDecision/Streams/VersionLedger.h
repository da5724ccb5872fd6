#pragma once

#include <LibCore/Clock.h>
#include <LibCore/Identifier.h>
#include <LibCore/Revision.h>

#include <cstdint>
#include <map>
#include <optional>
#include <set>
#include <vector>

namespace Ibisturn {

/// The software versions of one service that may have begun streams that callers can still resume, as the store has them.
struct VersionRecord {
    /// They may begin streams.
    std::set<SoftwareVersion> listed;
    /// They begin no streams any more, but streams that they began before may still be resumed. The empty version stands for those of a
    /// record that could not be read.
    std::set<SoftwareVersion> retiring;
    Revision revision;

    bool hasSameVersions(const VersionRecord& other) const { return listed == other.listed && retiring == other.retiring; }
    bool isEmpty() const { return listed.empty() && retiring.empty(); }
};

/// A record to write if the store still has the one of the revision `expected`; zero if it must not exist yet. Empty sets delete it.
struct LedgerWrite {
    ServiceId service;
    std::set<SoftwareVersion> listed;
    std::set<SoftwareVersion> retiring;
    Revision expected;
};

/// How current this instance's knowledge of the registered backend servers is.
enum class RegistryView : std::uint8_t {
    /// The store does not answer.
    Unavailable,
    /// A server that is not known may be registered nevertheless.
    Partial,
    Complete,
};

/// Which software versions may begin resumable streams, and which can have begun those that are not known otherwise. A version is listed in
/// the store before its first stream begins. When none of its backend servers is registered any more, it is retiring: no instance begins
/// another stream there as soon as it knows that. It is removed when it was retiring for the lifetime of a stream and the time that a
/// change may take to reach every instance. If the store has a single version of a service, that one began every stream of the service.
/// Thread safety: one thread at a time.
class VersionLedger {
public:
    static constexpr Duration defaultLifetime = std::chrono::seconds(24);
    /// The most versions that a record holds.
    static constexpr std::size_t maxVersions = 32;
    /// A record reaches every instance within this time, unless the instance is cut off from the store and from all others.
    static constexpr Duration settlingTime = std::chrono::seconds(4);
    /// A version without registered servers is retiring after this time: those of a server that was restarted are back sooner.
    static constexpr Duration retirementDelay = std::chrono::seconds(4);

    /// Sets how long a stream can last, with all resumptions. A shorter lifetime takes effect when the streams of before have ended.
    void setLifetime(TimePoint now, Duration lifetime);

    /// The store had this record of a service, or none, at the revision `asOf`: that of the record or of its deletion, or the one at which
    /// the store was read. Ignored if a later state is known.
    void onRecord(TimePoint now, const ServiceId& service, const std::optional<VersionRecord>& record, Revision asOf);

    /// The store came back from an older copy, which may lack versions that were listed. A process that has just started can't tell how long
    /// ago that was. A record of a later era says the same.
    void onHistoryLost(TimePoint now);

    /// The versions that may begin streams, for each service.
    std::map<ServiceId, std::set<SoftwareVersion>> listed() const;

    /// Whether several versions of some service may have begun streams, so that a stream's origin can't be proved.
    bool hasSeveralVersions() const;

    bool isListed(const ServiceId& service, const SoftwareVersion& version) const;

    /// A resumption waits for a proof, so the records must be read from the store. Lapses after about a second.
    void requestProof(TimePoint now);

    /// Whether a resumption has asked for a proof lately.
    bool isProofRequested(TimePoint now) const;

    /// Whether the records should be read now. Each read must be reported by beginRead() and then onRead() or onReadFailed().
    bool needsRead(TimePoint now) const;
    void beginRead(TimePoint now);
    /// A read that was begun at `startedAt` returned all records, as of the revision `position` or later.
    void onRead(TimePoint now, TimePoint startedAt, const std::map<ServiceId, VersionRecord>& records, Revision position);
    void onReadFailed(TimePoint now);

    /// The version that began every stream of the service that had begun by `since` and can still be resumed; unset if several may have, or
    /// if the store has not been read since then.
    std::optional<SoftwareVersion> onlyVersion(const ServiceId& service, TimePoint since) const;

    /// The records that this instance should write now. `registered` are the versions of all registered backend servers, draining ones
    /// included, for each service that needs a record. `rank` is the position of this instance among those that may write; the first one writes at once, the
    /// others only if nobody has. Each write must be reported by onWritten() or onWriteFailed(), after onRecord() if it is known what the
    /// store has then. Must be called regularly: the time for which a version had no servers is measured between calls.
    std::vector<LedgerWrite> takeDueWrites(TimePoint now, const std::map<ServiceId, std::set<SoftwareVersion>>& registered, RegistryView view, std::size_t rank);
    void onWritten(const ServiceId& service);
    void onWriteFailed(TimePoint now, const ServiceId& service);

    /// The number of services that have records.
    std::size_t recordCount() const;

private:
    struct ServiceState {
        /// Unset if the store has none, or none is known.
        std::optional<VersionRecord> record;
        Revision asOf;
        /// Since when each version of the record has had no registered server while the record was the same.
        std::map<SoftwareVersion, TimePoint> absentSince;
        /// Since when the record has not been what it should be.
        std::optional<TimePoint> dueSince;
        TimePoint pausedUntil {};
        bool isBeingWritten { false };
    };

    Duration lifetime(TimePoint now) const;
    bool isHistoryLost(TimePoint now) const;
    void updateAbsence(TimePoint now, ServiceState& state, const std::set<SoftwareVersion>& present, RegistryView view) const;
    VersionRecord targetOf(TimePoint now, const ServiceState& state, const std::set<SoftwareVersion>& present) const;
    ServiceState* stateOf(const ServiceId& service);

    Duration lifetime_ { defaultLifetime };
    /// A longer lifetime of before, which applies until streams that began under it have ended.
    Duration earlierLifetime_ {};
    TimePoint earlierLifetimeUntil_ {};
    std::map<ServiceId, ServiceState> services_;
    /// The newest era of the store of which a record is known.
    std::optional<StoreEra> era_;
    std::optional<TimePoint> historyLostAt_;
    std::optional<TimePoint> proofRequestedAt_;
    std::optional<TimePoint> lastReadStartedAt_;
    TimePoint nextReadAt_ {};
    bool isReading_ { false };
};

} // namespace Ibisturn
