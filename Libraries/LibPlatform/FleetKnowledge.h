#pragma once

#include <LibConfiguration/Snapshot.h>
#include <LibDecision/Membership/FleetNews.h>
#include <LibDecision/Registry/BackendRegistry.h>
#include <LibDecision/Registry/StoreMirror.h>
#include <LibPlatform/DocumentReader.h>
#include <LibPlatform/EntryFollower.h>

#include <map>
#include <optional>
#include <set>
#include <vector>

namespace Ibisturn {

/// Where the instances below `ownPrefix` keep their entries, and the largest size that the fleet had.
std::string instancesPrefixOf(const std::string& ownPrefix);
std::string fleetSizeKeyOf(const std::string& ownPrefix);

/// What one instance of a fleet knows from the store, directly or through other instances: the configuration, the
/// backend servers, evacuations and the other instances.
/// Thread safety: one thread at a time.
class FleetKnowledge {
public:
    /// `ownPrefix` is where the instances keep what is theirs. Precondition: `reader` outlives it.
    FleetKnowledge(const DocumentReader& reader, std::string ownPrefix, RemovalLimits limits);

    /// Changes the limits.
    void setLimits(RemovalLimits limits);

    /// The prefixes to follow.
    const std::vector<std::string>& prefixes() const { return prefixes_; }

    /// Takes in what the store told.
    void onListing(TimePoint now, const EntryFollower::Listing& listing);
    void onChanges(TimePoint now, const std::vector<RecordChange>& changes);

    /// Takes in what a peer answered to the question for the changes after positions().
    void onPeerChanges(TimePoint now, const std::vector<RecordChange>& changes, PeerView view);

    /// An instance said itself that it takes requests: if its entry lapsed, the store turns it away.
    void onHeard(TimePoint now, const InstanceId& instance);

    /// The store does not answer, or answers again for one prefix.
    void onStoreAway(TimePoint now);
    void onStoreBack(TimePoint now);

    /// Whether the store has not answered for a while.
    bool isStoreAway(TimePoint now) const;

    /// What this instance has to say of the store to one that asks.
    PeerView view(TimePoint now) const { return registry_.hold().isSettled(now) ? PeerView::Settled : PeerView::Partial; }

    /// Since when the store has not answered; nothing while it does.
    const std::optional<TimePoint>& awaySince() const { return registry_.hold().awaySince(); }

    /// Lets time pass.
    void advance(TimePoint now);

    /// The configuration in force; null if none is known.
    const SnapshotPointer& snapshot() const { return snapshot_; }

    /// Whether everything that the instances follow was listed once.
    bool isComplete() const { return listed_.size() == prefixes_.size(); }

    /// What operators allow callers, if they say so.
    const std::optional<CallerLimits>& callerLimits() const { return callerLimits_; }

    /// The backend servers.
    const BackendRegistry& registry() const { return registry_; }

    /// The instances that have entries, had them a moment ago, or had them and are still heard.
    std::vector<Member> members() const;

    /// The most instances that there ever were, as far as the store tells.
    std::size_t fleetSize() const { return fleetSize_; }

    /// Up to which revision all changes are known, for each of prefixes(): each is watched by itself, so that one may be
    /// behind another.
    const std::vector<Revision>& positions() const { return positions_; }

    /// The changes after `positions` that the store told this instance or its peers. Positions that are missing are zero.
    std::vector<RecordChange> changesAfter(const std::vector<Revision>& positions) const;

private:
    struct KnownMember {
        Member member;
        std::optional<TimePoint> removedAt;
        TimePoint heardAt {};
    };

    bool isGone(const KnownMember& known, TimePoint now) const;
    void take(TimePoint now, const RecordChange& change);
    void notePosition(std::string_view key, Revision position);
    void takeOperators(TimePoint now, const RecordChange& change);
    void takeServer(TimePoint now, const RecordChange& change);
    void takeMember(TimePoint now, const RecordChange& change);
    void takeFleetSize(const std::string& value);

    const DocumentReader& reader_;
    std::string ownPrefix_;
    std::string instancesPrefix_;
    std::vector<std::string> prefixes_;
    StoreMirror mirror_;
    BackendRegistry registry_;
    SnapshotPointer snapshot_;
    std::optional<CallerLimits> callerLimits_;
    std::set<std::string> listed_;
    std::set<DataCentreId> evacuated_;
    std::map<std::string, KnownMember> members_;
    std::size_t fleetSize_ { 0 };
    /// In the order of prefixes_.
    std::vector<Revision> positions_;
};

} // namespace Ibisturn
