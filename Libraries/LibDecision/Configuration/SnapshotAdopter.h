#pragma once

#include <LibDecision/Configuration/EmergencyWithdrawals.h>
#include <LibDecision/Configuration/HeartbeatTable.h>
#include <LibDecision/Configuration/RecordLog.h>
#include <LibDecision/Configuration/StoreFollower.h>
#include <LibDecision/Dissemination/StatusMessages.h>
#include <LibDecision/Membership/MembershipView.h>

namespace Ibisturn {

struct SendHeartbeat {
    InstanceId peer;
    ControlHeartbeat heartbeat;
};

struct SendUpdate {
    InstanceId peer;
    ConfigurationUpdate update;
};

using PeerAction = std::variant<SendHeartbeat, SendUpdate, SendReport, SendDigest, SendExchange, SendStoreUpdate>;

/// Actions for the adapter to perform.
struct AdopterActions {
    std::vector<StoreAction> store;
    std::vector<PeerAction> peers;
    /// Withdrawals to write to the store. Writing one twice is harmless, since its id identifies it.
    std::vector<EmergencyWithdrawal> withdrawals;
};

/// All entries below the records' key prefix from one read of the store.
struct StoreRecords {
    /// The store's own revision at the read, which also advances with writes to other keys.
    Revision position;
    std::vector<RecordChange> records;
};

/// Decides which configuration is in force on one instance. It follows the store if the instance is one of its data centre's
/// watchers and peers otherwise, only advances to later revisions, and decides when the instance may serve.
/// Thread safety: one thread at a time.
class SnapshotAdopter {
public:
    /// `incarnation` differs for each start; `prefix` is the deployment's key prefix in the store.
    SnapshotAdopter(InstanceIdentity self, std::string prefix, Incarnation incarnation, TimePoint startedAt);

    /// Sets the known instances from the membership list, which may be outdated.
    void setInstances(std::vector<Member> instances);

    /// Returns the actions that are due. Call it every 100 ms; a pause of more than two seconds is taken as a frozen process.
    AdopterActions tick(TimePoint now);

    /// The store answered, reported changes, or failed. Changes of one transaction are passed together.
    AdopterActions onRead(TimePoint now, StoreCallId call, StoreRecords records);
    AdopterActions onHead(TimePoint now, StoreCallId call, Revision head);
    AdopterActions onWatched(TimePoint now, StoreCallId call, Revision position, const std::vector<RecordChange>& changes);
    void onStoreFailed(TimePoint now, StoreCallId call);

    /// A peer sent a message.
    AdopterActions onHeartbeat(TimePoint now, const InstanceId& from, const ControlHeartbeat& heartbeat);
    AdopterActions onUpdate(TimePoint now, const ConfigurationUpdate& update);

    /// An operator withdraws a key on this instance. The withdrawal applies immediately, is propagated to every reachable
    /// instance, and is written to the store by watchers as soon as the store answers.
    AdopterActions withdraw(TimePoint now, const EmergencyWithdrawal& withdrawal);

    /// Store keys of the records that are withdrawn and still in the log.
    std::set<std::string> withdrawn() const { return withdrawals_.withdrawn(log_); }

    /// This instance is shutting down: notifies every instance immediately.
    AdopterActions leave(TimePoint now);

    /// Whether the instance may serve requests with the records in force.
    Readiness readiness() const { return readiness_; }

    /// The records and their revision.
    const RecordLog& log() const { return log_; }

    /// The state of peers as known from heartbeats.
    const HeartbeatTable& heartbeats() const { return heartbeats_; }

    /// The records in force matched the store at most this long ago; nullopt if unknown.
    std::optional<Duration> storeAge(TimePoint now) const;

    /// Whether this instance follows the store for its data centre.
    bool isWatcher() const { return isWatcher_; }

private:
    void detectPause(TimePoint now);
    std::optional<TimePoint> currentAsOf() const;
    bool isStoreFresh(TimePoint now) const;
    std::vector<InstanceId> dataCentrePeers() const;
    std::vector<InstanceId> watchers(TimePoint now) const;
    bool isHealthyWatcher(TimePoint now, const InstanceId& instance) const;
    std::vector<InstanceId> heartbeatTargets(TimePoint now);
    void addSuspectedWatchers(TimePoint now, std::vector<InstanceId>& targets);
    void addRemoteSources(TimePoint now, std::vector<InstanceId>& targets);
    void updateReadiness(TimePoint now);
    bool canServe(TimePoint now, TimePoint since) const;
    SendHeartbeat makeHeartbeat(TimePoint now, const InstanceId& peer, HeartbeatKind kind);
    void offerUpdate(TimePoint now, const InstanceId& peer, UpdateRequest request, AdopterActions& actions);
    void notifyPeers(TimePoint now, AdopterActions& actions);
    void propagateWithdrawals(TimePoint now, AdopterActions& actions);
    void writeWithdrawals(TimePoint now, AdopterActions& actions);
    AdopterActions adopt(TimePoint now, const ConfigurationUpdate& update);

    InstanceIdentity self_;
    std::string headKey_;
    RecordLog log_;
    StoreFollower follower_;
    HeartbeatTable heartbeats_;
    EmergencyWithdrawals withdrawals_;
    TimePoint nextWithdrawalWrite_ {};
    std::vector<Member> instances_;
    Readiness readiness_ { Readiness::Starting };
    /// Evidence from before this time does not count towards readiness.
    TimePoint uncertainSince_;
    std::optional<TimePoint> lastTick_;
    TimePoint nextHeartbeats_;
    TimePoint nextRemoteProbe_ {};
    std::size_t remoteProbes_ { 0 };
    bool isWatcher_ { false };
    MemberState state_ { MemberState::Live };
};

} // namespace Ibisturn
