#pragma once

#include <LibDecision/Configuration/EmergencyWithdrawals.h>
#include <LibDecision/Configuration/PeerFeed.h>
#include <LibDecision/Configuration/RecordLog.h>
#include <LibDecision/Configuration/StoreFollower.h>
#include <LibDecision/Membership/MembershipView.h>
#include <LibDecision/Membership/PeerStatus.h>

namespace Ibisturn {

struct SendHeartbeat {
    InstanceId peer;
    ControlHeartbeat heartbeat;
};

struct SendUpdate {
    InstanceId peer;
    ConfigurationUpdate update;
};

using PeerAction = std::variant<SendHeartbeat, SendUpdate, SendPeerStatus>;

/// What an adapter has to do.
struct AdopterActions {
    std::vector<StoreAction> store;
    std::vector<PeerAction> peers;
    /// Withdrawals to write to the store; writing one twice is harmless, since it has an id.
    std::vector<EmergencyWithdrawal> withdrawals;
};

/// Everything below the records' folder as one read of the store shows it.
struct StoreRecords {
    /// The store's own revision at the read, which other writers move as well.
    Revision position;
    std::vector<RecordChange> records;
};

/// Decides which configuration is in force on one instance: it follows the store if it is one of its data centre's
/// watchers and peers otherwise, only ever moves to later revisions, and says when it may serve.
/// Thread safety: one thread at a time.
class SnapshotAdopter {
public:
    /// `incarnation` differs in each start; `prefix` is the store's prefix of the deployment.
    SnapshotAdopter(InstanceIdentity self, std::string prefix, Incarnation incarnation, TimePoint startedAt);

    /// Sets the instances that the live list names; it may lag.
    void setInstances(std::vector<Member> instances);

    /// What is due. Call it every 100 ms; a longer pause than two seconds means that the process was frozen.
    AdopterActions tick(TimePoint now);

    /// The store answered, told of changes, or failed. Changes of one transaction come together.
    AdopterActions onRead(TimePoint now, StoreCallId call, StoreRecords records);
    AdopterActions onHead(TimePoint now, StoreCallId call, Revision head);
    AdopterActions onWatched(TimePoint now, StoreCallId call, Revision position, const std::vector<RecordChange>& changes);
    void onStoreFailed(TimePoint now, StoreCallId call);

    /// A peer spoke.
    AdopterActions onHeartbeat(TimePoint now, const InstanceId& from, const ControlHeartbeat& heartbeat);
    AdopterActions onUpdate(TimePoint now, const ConfigurationUpdate& update);

    /// An operator withdraws a key here. It strikes at once, is spread to every instance that can be reached, and is
    /// written to the store by watchers as soon as that answers.
    AdopterActions withdraw(TimePoint now, const EmergencyWithdrawal& withdrawal);

    /// The store's keys of the records that are withdrawn and still in the log.
    std::set<std::string> withdrawn() const { return withdrawals_.withdrawn(log_); }

    /// This instance leaves: every instance is told at once.
    AdopterActions leave(TimePoint now);

    /// Whether requests may be served with the records in force.
    Readiness readiness() const { return readiness_; }

    /// The records and their revision.
    const RecordLog& log() const { return log_; }

    /// What heartbeats show of peers.
    const PeerFeed& feed() const { return feed_; }

    /// The records in force were the store's this long ago, or later; nothing if that is not known.
    std::optional<Duration> storeAge(TimePoint now) const;

    /// Whether this instance follows the store for its data centre.
    bool isWatcher() const { return isWatcher_; }

private:
    void notePause(TimePoint now);
    std::optional<TimePoint> currentAsOf() const;
    bool isStoreFresh(TimePoint now) const;
    std::vector<InstanceId> others() const;
    std::vector<InstanceId> watchers(TimePoint now) const;
    bool isFit(TimePoint now, const InstanceId& instance) const;
    std::vector<InstanceId> heartbeatTargets(TimePoint now);
    void addSuspectedWatchers(TimePoint now, std::vector<InstanceId>& targets);
    void addRemoteSources(TimePoint now, std::vector<InstanceId>& targets);
    void updateReadiness(TimePoint now);
    bool mayServe(TimePoint now, TimePoint since) const;
    SendHeartbeat makeHeartbeat(TimePoint now, const InstanceId& peer, HeartbeatKind kind);
    void offerUpdate(TimePoint now, const InstanceId& peer, UpdateWish wish, AdopterActions& actions);
    void announce(TimePoint now, AdopterActions& actions);
    void spreadWithdrawals(TimePoint now, AdopterActions& actions);
    void writeWithdrawals(TimePoint now, AdopterActions& actions);
    AdopterActions adopt(TimePoint now, const ConfigurationUpdate& update);

    InstanceIdentity self_;
    std::string headKey_;
    RecordLog log_;
    StoreFollower follower_;
    PeerFeed feed_;
    EmergencyWithdrawals withdrawals_;
    TimePoint nextWithdrawalWrite_ {};
    std::vector<Member> instances_;
    Readiness readiness_ { Readiness::Starting };
    /// Evidence from before this time does not make the instance ready.
    TimePoint uncertainSince_;
    std::optional<TimePoint> lastTick_;
    TimePoint nextHeartbeats_;
    TimePoint nextSweep_ {};
    std::size_t sweeps_ { 0 };
    bool isWatcher_ { false };
    MemberState state_ { MemberState::Live };
};

} // namespace Ibisturn
