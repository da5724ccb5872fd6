#pragma once

#include <LibDecision/Configuration/SnapshotAdopter.h>
#include <LibDecision/Membership/MembershipTracker.h>
#include <LibPlatform/RecordWriter.h>
#include <LibPlatform/StoreClient.h>

#include <functional>

namespace Ibisturn {

/// The configuration's part of the `status` output.
struct ConfigurationState {
    Readiness readiness { Readiness::Starting };
    Revision revision { noRevision };
    /// Upper bound on the age of the records with respect to the store.
    std::optional<Duration> storeAge;
    bool isWatcher { false };
};

/// Carries out what a SnapshotAdopter decides: calls to the store, messages to peers, and the snapshot in force.
/// Thread safety: one worker.
class ConfigurationFeed {
public:
    /// Called with the snapshot in force, or null while the instance must not serve.
    using SnapshotCallback = std::function<void(SnapshotPointer)>;
    /// Called with each message to a peer, except answers.
    using PeerCallback = std::function<void(const PeerAction&)>;

    /// Precondition: `store` outlives the feed.
    ConfigurationFeed(StoreClient& store, InstanceIdentity self, std::string prefix, SnapshotCallback onSnapshot, PeerCallback onPeerAction);

    /// Follows the configuration until the event loop stops.
    Task<void> run();

    /// Sets the instances of the live list.
    void setInstances(std::vector<Member> instances);

    /// Processes a peer's message and returns the answers to it.
    std::vector<PeerAction> onHeartbeat(const InstanceId& from, const ControlHeartbeat& heartbeat);
    std::vector<PeerAction> onUpdate(const InstanceId& from, const ConfigurationUpdate& update);

    /// Withdraws a key on this instance and on all reachable peers, even if the store is unavailable.
    void withdraw(const RecordName& name, EmergencyWithdrawal withdrawal);

    /// The revision of a record in force; zero if there is none.
    Revision revisionOf(const RecordName& name) const;

    /// Announces to every instance that this one is leaving.
    void leave();

    /// Whether an instance answers, judged by round trips; unset if it is not probed, or has not been for long enough.
    std::optional<Reachability> reachability(const InstanceId& instance) const;

    ConfigurationState state() const;

private:
    void perform(const AdopterActions& actions);
    void call(const ReadStore& action);
    void call(const ReadHead& action);
    void call(const WatchStore& action);
    void call(const StopWatch& action);
    Task<void> read(StoreCallId id);
    Task<void> readHead(StoreCallId id);
    Task<void> watch(WatchStore action);
    Task<void> write(EmergencyWithdrawal withdrawal);
    std::vector<PeerAction> performReturningAnswers(const InstanceId& from, AdopterActions actions);
    void publish();

    StoreClient& store_;
    std::string prefix_;
    SnapshotCallback onSnapshot_;
    PeerCallback onPeerAction_;
    SnapshotAdopter adopter_;
    Asio::any_io_executor executor_;
    std::optional<StoreCallId> watch_;
    Revision published_ { noRevision };
    bool isServing_ { false };
    std::set<std::string> withdrawn_;
    RecordWriter writer_;
};

} // namespace Ibisturn
