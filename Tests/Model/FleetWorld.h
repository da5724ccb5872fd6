#pragma once

#include "NamedDocuments.h"
#include "StoreModel.h"

#include <LibPlatform/FleetKnowledge.h>
#include <LibPlatform/PeerWishes.h>

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
    OnePositionForAll,
    /// Instances do not notice that the store is unavailable.
    AwayUnnoticed,
    /// Peers are never queried.
    NobodyAsked,
};

/// Simulates, in virtual time, the store, backend servers that renew their entries, an operator who changes the
/// configuration, and instances that follow the store with the product's own code. Seeded faults: the store is unavailable
/// to all or some instances, leases expire meanwhile, history is compacted, reads are stale, watches are slow, replies are
/// lost, links between instances are cut, instances freeze and restart, servers leave and crash.
/// Thread safety: one thread.
class FleetWorld {
public:
    FleetWorld(std::uint64_t seed, FleetMutation mutation);

    /// Simulates one minute; stops at the first violation.
    void run();

    /// Describes the first violation; empty if there was none.
    const std::string& violation() const { return violation_; }

private:
    struct Follower {
        bool isWatching { false };
        Revision position;
        Duration lag {};
        TimePoint nextTry {};
    };
    struct Instance {
        explicit Instance(const NamedDocuments& reader)
            : knowledge(std::make_unique<FleetKnowledge>(reader, "own/", RemovalLimits()))
            , followers(knowledge->prefixes().size())
        {
        }
        Member member;
        std::unique_ptr<FleetKnowledge> knowledge;
        PeerWishes wishes;
        std::vector<Follower> followers;
        TimePoint frozenUntil {};
        TimePoint turnedAwayUntil {};
        /// Since when it follows the store without a fault, and since when it can get updates from peers that do.
        TimePoint informedSince {};
        TimePoint toldSince {};
        Revision configuration;
        std::set<std::string> seen;
    };
    struct Server {
        std::optional<LeaseId> lease;
        TimePoint nextBeat {};
        std::optional<TimePoint> leavingSince;
        std::optional<TimePoint> crashedAt;
    };
    struct Change {
        TimePoint at;
        Revision revision;
    };

    bool chance(double probability) { return std::uniform_real_distribution<>(0, 1)(random_) < probability; }
    Duration within(Duration most) { return Duration(static_cast<Duration::rep>(std::uniform_real_distribution<>(0, 1)(random_) * static_cast<double>(most.count()))); }
    std::size_t pick(std::size_t count) { return static_cast<std::size_t>(random_() % count); }
    bool isFrozen(const Instance& instance) const { return now_ < instance.frozenUntil; }
    bool isStoreDown() const { return now_ < storeDownUntil_; }
    bool isAwayFrom(const Instance& instance) const { return isStoreDown() || now_ < instance.turnedAwayUntil; }
    bool isCut(std::size_t left, std::size_t right) const;

    void start(std::size_t index);
    void disturb();
    void operate();
    void beat();
    void follow(Instance& instance);
    void list(Instance& instance, std::size_t prefix);
    void ask(std::size_t index);
    Revision revisionAt(TimePoint time) const;
    void noteTouch(std::size_t index);
    void check(Instance& instance);
    void checkServers(Instance& instance, TimePoint settled);
    void fail(const Instance& instance, const std::string& problem);

    std::mt19937_64 random_;
    FleetMutation mutation_;
    NamedDocuments reader_;
    StoreModel store_;
    TimePoint now_;
    TimePoint storeDownUntil_ {};
    TimePoint storeTroubledUntil_ {};
    bool doesLapse_ { false };
    TimePoint cutUntil_ {};
    std::set<std::size_t> cutOff_;
    std::vector<Instance> instances_;
    std::map<std::string, Server> servers_;
    std::size_t serverCount_ { 0 };
    /// The store's revision at each step, for stale reads.
    std::vector<Change> revisions_;
    std::vector<Change> configurations_;
    std::string violation_;
};

} // namespace Ibisturn::Model
