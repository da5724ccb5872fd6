#pragma once

#include <LibConfiguration/Snapshot.h>
#include <LibDecision/Dissemination/StatusMessages.h>
#include <LibDecision/Registry/BackendRegistry.h>
#include <LibDecision/Registry/StoreMirror.h>
#include <LibDecision/Streams/VersionLedger.h>
#include <LibPlatform/DocumentReader.h>
#include <LibPlatform/EntryFollower.h>
#include <LibPlatform/OddItemLog.h>

#include <cstdint>
#include <map>
#include <optional>
#include <set>
#include <utility>
#include <vector>

namespace Ibisturn {

/// The prefix of the instances' entries, and the key of the largest size that the fleet has had.
std::string instancesPrefixOf(const std::string& ownPrefix);
std::string fleetSizeKeyOf(const std::string& ownPrefix);

/// The key of a quarantined prompt part.
std::string quarantineKeyOf(const std::string& ownPrefix, const ServicePart& part);

/// What became of the entry of a quarantined prompt part.
enum class QuarantineEntry : std::uint8_t {
    /// An instance wrote it.
    Written,
    /// It was deleted or has expired.
    Deleted,
    /// The store has lost it by coming back from an older copy.
    Lost,
};

struct QuarantineChange {
    ServicePart part;
    QuarantineEntry entry { QuarantineEntry::Written };
};

/// The store has this record of a service's software versions, or none, at the revision `asOf`.
struct VersionRecordChange {
    ServiceId service;
    std::optional<VersionRecord> record;
    Revision asOf;
};

/// The state of the fleet as one instance has received it from the store, directly or through other instances: the
/// configuration, the backend servers, evacuations and the other instances.
/// Thread safety: one thread at a time.
class FleetState {
public:
    /// `ownPrefix` is the prefix of the instances' own keys. Precondition: `reader` outlives this object.
    FleetState(const DocumentReader& reader, std::string ownPrefix, RemovalLimits limits);

    void setLimits(RemovalLimits limits);

    /// The prefixes to follow.
    const std::vector<std::string>& prefixes() const { return prefixes_; }

    /// Applies a listing or changes received from the store.
    void onListing(TimePoint now, const EntryFollower::Listing& listing);
    void onChanges(TimePoint now, const std::vector<RecordChange>& changes);

    /// Applies a peer's answer to a request for the changes after positions(). Precondition: `update` is an answer.
    void onPeerUpdate(TimePoint now, const StoreUpdate& update);

    /// An instance announced that it accepts requests. If its entry has expired nevertheless, it can't reach the store.
    void onPeerMessage(TimePoint now, const InstanceId& instance);

    /// The store confirmed at `confirmedAt` that all changes of operators' and backend servers' entries have been applied; unset if it
    /// never has.
    void setConfirmedAt(const std::optional<TimePoint>& confirmedAt);

    /// The store became unavailable, or is available again, for one prefix.
    void onStoreUnavailable(TimePoint now);
    void onStoreAvailable(TimePoint now);

    /// Whether the store has been unavailable for long enough to request its changes from peers.
    bool isStoreUnavailable(TimePoint now) const;

    /// How complete this instance's view of the store is; sent along with changes that peers request.
    StoreView view(TimePoint now) const { return registry_.removalGracePeriod().isViewComplete(now) ? StoreView::Complete : StoreView::Partial; }

    /// Since when the store has been unavailable; unset while it is available.
    const std::optional<TimePoint>& unavailableSince() const { return registry_.removalGracePeriod().unavailableSince(); }

    /// Removes what has expired by `now`.
    void advance(TimePoint now);

    /// The configuration in force; null if none has been received.
    const SnapshotPointer& snapshot() const { return snapshot_; }

    /// Whether every followed prefix has been listed at least once.
    bool isComplete() const { return listed_.size() == prefixes_.size(); }

    /// The limits that operators set for callers; unset if they set none.
    const std::optional<CallerLimits>& callerLimits() const { return callerLimits_; }

    const BackendRegistry& registry() const { return registry_; }

    /// The instances that have entries, whose entries were removed within the grace period, or that still send messages
    /// although their entries were removed.
    std::vector<Member> members() const;

    /// Those of members() whose entries were removed.
    std::vector<InstanceId> membersWithoutEntry() const;

    /// The changes of quarantined prompt parts since the last call.
    std::vector<QuarantineChange> takeQuarantineChanges() { return std::exchange(quarantineChanges_, {}); }

    /// The changes of the records of software versions since the last call.
    std::vector<VersionRecordChange> takeVersionRecordChanges() { return std::exchange(versionRecordChanges_, {}); }

    /// How many entries were written that mean nothing under their keys.
    std::uint64_t oddEntries() const { return oddEntries_.count(); }

    /// The largest number of instances that the fleet has had, according to the store.
    std::size_t fleetSize() const { return fleetSize_; }

    /// The number that the store has now; less than fleetSize() if it has lost that by coming back from an older copy.
    std::size_t storedFleetSize() const { return storedFleetSize_; }

    /// Whether the copy of some prefix is of an earlier era than `era`, in which the store has answered. An earlier copy may have
    /// entries that the store has lost, and lack later ones whose revisions have lower numbers.
    bool isBehindEra(StoreEra era) const;

    /// The revision up to which all changes have been received, for each of prefixes(). Each prefix is watched separately,
    /// so one may lag behind another.
    const std::vector<Revision>& positions() const { return positions_; }

    /// The position of one prefix; unset if it has not been listed.
    std::optional<Revision> positionOf(const std::string& prefix) const;

    /// Answers a peer that requests the changes after `positions`: what this instance has received from the store or from other
    /// peers. Missing positions count as zero. The answer is empty while a peer of an earlier era has time to list the store itself, since
    /// all instances would ask for everything at once.
    StoreUpdate updateAfter(TimePoint now, const std::vector<Revision>& positions) const;

private:
    struct KnownMember {
        Member member;
        std::optional<TimePoint> removedAt;
        TimePoint lastMessageAt {};
        /// How long it is kept after its entry was removed, while the store is available.
        Duration grace {};
    };
    /// A change of an older copy of the store that takes effect unless the entry's owner writes or deletes it until then.
    struct DeferredChange {
        RecordChange change;
        /// Since when the owner could have written the entry, and how long it has time for that.
        TimePoint since {};
        Duration wait {};
    };

    bool isExpired(const KnownMember& known, TimePoint now) const;
    void apply(TimePoint now, const AppliedChange& applied);
    void apply(TimePoint now, const RecordChange& change, EntryOrigin origin);
    std::optional<Duration> deferralOf(const AppliedChange& applied) const;
    bool isKnownProcess(const RecordChange& entry) const;
    bool isDue(const DeferredChange& deferred, TimePoint now) const;
    void applyDeferred(TimePoint now);
    void defer(TimePoint now, const RecordChange& change, Duration wait);
    void onPosition(TimePoint now, std::size_t index, Revision position);
    void applyChanges(TimePoint now, const std::vector<RecordChange>& changes);
    bool applyExistingKeys(TimePoint now, std::size_t index, Revision position, const std::vector<std::string>& keys);
    bool isObsolete(const RecordChange& change) const;
    void advancePosition(std::size_t index, Revision position);
    /// The number of the prefix that `key` is below; unset if none is followed.
    std::optional<std::size_t> indexOf(std::string_view key) const;
    void applyOperatorEntry(TimePoint now, const RecordChange& change);
    void applyConfiguration(TimePoint now, const RecordChange& change);
    void adopt(const RecordChange& change, ConfigurationDocument document);
    std::optional<RegisteredServer> readServer(TimePoint now, const RecordChange& change);
    void applyServerEntry(TimePoint now, const RecordChange& change, EntryOrigin origin);
    std::optional<Member> readMember(TimePoint now, const RecordChange& change);
    void applyInstanceEntry(TimePoint now, const RecordChange& change, EntryOrigin origin);
    void applyFleetSize(TimePoint now, const RecordChange& change);
    void applyQuarantine(TimePoint now, const RecordChange& change, EntryOrigin origin);
    void applyVersions(TimePoint now, const RecordChange& change);
    /// The change without a value that is too large for what its key means.
    RecordChange withoutOversizedValue(TimePoint now, RecordChange change);
    /// How current the registry is, for log lines.
    std::string storeState(TimePoint now) const;

    const DocumentReader& reader_;
    std::string ownPrefix_;
    std::string instancesPrefix_;
    std::vector<std::string> prefixes_;
    StoreMirror mirror_;
    BackendRegistry registry_;
    SnapshotPointer snapshot_;
    /// The operators' version of the configuration in force.
    std::int64_t configurationVersion_ { 0 };
    std::optional<CallerLimits> callerLimits_;
    std::set<std::string> listed_;
    std::set<DataCentreId> evacuated_;
    std::map<std::string, KnownMember> members_;
    std::map<std::string, DeferredChange> deferred_;
    /// When the store last confirmed that all changes of operators' and backend servers' entries have been applied.
    std::optional<TimePoint> confirmedAt_;
    /// When the first prefix was listed in the present era of the store.
    TimePoint eraSince_ {};
    std::size_t fleetSize_ { 0 };
    std::size_t storedFleetSize_ { 0 };
    std::vector<QuarantineChange> quarantineChanges_;
    std::vector<VersionRecordChange> versionRecordChanges_;
    OddItemLog oddEntries_ { "entry" };
    /// In the order of prefixes_.
    std::vector<Revision> positions_;
    /// The revision after which all removals are known, in the order of prefixes_; unset if it isn't known which keys exist.
    std::vector<std::optional<Revision>> removalsKnownAfter_;
};

} // namespace Ibisturn
