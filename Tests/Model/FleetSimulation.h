#pragma once

#include "StoreModel.h"
#include "StubDocumentReader.h"

#include <LibPlatform/FleetState.h>
#include <LibPlatform/PeerUpdateRequests.h>

#include <map>
#include <memory>
#include <random>
#include <set>
#include <string>
#include <vector>

namespace Ibisturn::Model {

/// A fault injected into the behaviour of the instances, to prove that the checks detect it.
enum class FleetMutation : std::uint8_t {
    None,
    /// Peers are queried for changes after the newest position of any watch, instead of after each watch's own position.
    SharedWatchPosition,
    /// Instances do not notice that the store is unavailable.
    IgnoreUnavailableStore,
    /// Peers are never queried.
    NeverQueryPeers,
    /// Revisions are ordered by their numbers alone, although the store comes back from older copies.
    IgnoreEras,
};

/// Simulates, in virtual time, the store, backend servers that renew their entries, an operator who changes the
/// configuration, and instances that follow the store with the product's own code. Seeded faults: the store is unavailable
/// to all or some instances, leases expire meanwhile, history is compacted, reads are stale, watches are slow, replies are
/// lost, links between instances are cut, instances freeze and restart, servers leave and crash, the store comes back from an older copy.
/// Thread safety: one thread.
class FleetSimulation {
public:
    FleetSimulation(std::uint64_t seed, FleetMutation mutation);

    /// Simulates one minute; stops at the first violation.
    void run();

    /// Describes the first violation; empty if there was none.
    const std::string& violation() const { return violation_; }

private:
    struct WatchState {
        bool isWatching { false };
        Revision position;
        Duration lag {};
        TimePoint retryAt {};
    };
    struct Instance {
        explicit Instance(const StubDocumentReader& reader)
            : fleetState(std::make_unique<FleetState>(reader, "own/", RemovalLimits()))
            , watches(fleetState->prefixes().size())
        {
        }
        Member member;
        std::unique_ptr<FleetState> fleetState;
        PeerUpdateRequests updateRequests;
        std::vector<WatchState> watches;
        TimePoint frozenUntil {};
        TimePoint storeRefusedUntil {};
        /// Since when it follows the store without a fault, and since when it can get updates from peers that do.
        TimePoint followsStoreSince {};
        TimePoint reachesPeersSince {};
        /// The number of the configuration in force; zero before the first.
        std::size_t configuration { 0 };
        std::set<std::string> everUsable;
        /// Servers that it has used, and of whose leaving it has had the time to learn.
        std::set<std::string> knownToLeave;
    };
    struct Server {
        std::optional<LeaseId> lease;
        TimePoint nextHeartbeat {};
        std::optional<TimePoint> leavingSince;
        std::optional<TimePoint> crashedAt;
        std::int64_t sequence { 0 };
    };
    struct Change {
        TimePoint at;
        Revision revision;
    };
    /// A configuration, named by its position from one, and when the store acknowledged it for the last time.
    struct Configuration {
        TimePoint at;
    };

    bool chance(double probability) { return std::uniform_real_distribution<>(0, 1)(random_) < probability; }
    Duration randomDuration(Duration max) { return Duration(static_cast<Duration::rep>(std::uniform_real_distribution<>(0, 1)(random_) * static_cast<double>(max.count()))); }
    std::size_t randomIndex(std::size_t count) { return static_cast<std::size_t>(random_() % count); }
    bool isFrozen(const Instance& instance) const { return now_ < instance.frozenUntil; }
    bool isStoreDown() const { return now_ < storeDownUntil_; }
    bool isStoreUnavailableTo(const Instance& instance) const { return isStoreDown() || now_ < instance.storeRefusedUntil; }
    bool isPartitioned(std::size_t left, std::size_t right) const;

    void start(std::size_t index);
    void injectFaults();
    void restoreStore();
    void writeConfiguration();
    void writeEntry(const std::string& key, Server& server);
    std::size_t configurationOf(const Instance& instance) const;
    void applyOperatorChanges();
    void sendHeartbeats();
    void advanceWatches(Instance& instance);
    void list(Instance& instance, std::size_t prefix);
    void requestPeerUpdates(std::size_t index);
    Revision revisionAt(TimePoint time) const;
    void updateConnectivity(std::size_t index);
    void check(Instance& instance);
    void checkServers(Instance& instance, TimePoint visibilityHorizon);
    void fail(const Instance& instance, const std::string& problem);

    std::mt19937_64 random_;
    FleetMutation mutation_;
    StubDocumentReader reader_;
    StoreModel store_;
    TimePoint now_;
    TimePoint storeDownUntil_ {};
    TimePoint storeLastDownAt_ {};
    TimePoint storeLastReturnedAt_ {};
    bool doLeasesExpire_ { false };
    /// When the operator writes again what the store has lost; unset if it has lost nothing.
    std::optional<TimePoint> operatorWritesAgainAt_;
    TimePoint partitionedUntil_ {};
    std::set<std::size_t> partition_;
    std::vector<Instance> instances_;
    std::map<std::string, Server> servers_;
    std::size_t serverCount_ { 0 };
    /// The store's revision at each step, for stale reads.
    std::vector<Change> revisions_;
    std::vector<Configuration> configurations_;
    std::string violation_;
};

} // namespace Ibisturn::Model
