#pragma once

#include "NamedDocuments.h"
#include "StoreModel.h"

#include <LibPlatform/FleetState.h>
#include <LibPlatform/PeerUpdateRequests.h>

#include <map>
#include <memory>
#include <random>
#include <set>
#include <string>
#include <vector>

namespace Ibisturn::Model {

/// A fault put into what the instances do, to show that the checks find it.
enum class FleetMutation : std::uint8_t {
    None,
    /// Peers are asked for what follows the newest change of anything.
    OnePositionForAll,
    /// A store that does not answer is not noticed.
    AwayUnnoticed,
    /// Peers are never asked.
    NobodyAsked,
};

/// The store, backend servers that renew their entries, an operator who changes things, and instances that follow the
/// store with the product's own knowledge, on virtual time and with seeded faults: a store that is down for all or for
/// some, leases that run out meanwhile, history that is dropped, old reads, slow watches, answers that are lost, cut links
/// between instances, frozen and restarted instances, servers that leave and that crash.
/// Thread safety: one thread.
class FleetWorld {
public:
    FleetWorld(std::uint64_t seed, FleetMutation mutation);

    /// Plays a minute; stops at the first violation.
    void run();

    /// What was found wrong, in words; empty if nothing.
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
            : knowledge(std::make_unique<FleetState>(reader, "own/", RemovalLimits()))
            , followers(knowledge->prefixes().size())
        {
        }
        Member member;
        std::unique_ptr<FleetState> knowledge;
        PeerUpdateRequests wishes;
        std::vector<Follower> followers;
        TimePoint frozenUntil {};
        TimePoint turnedAwayUntil {};
        /// Since when it follows the store without a fault, and since when it reaches others that do.
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
    /// What revision stood when, for reads that lag.
    std::vector<Change> revisions_;
    std::vector<Change> configurations_;
    std::string violation_;
};

} // namespace Ibisturn::Model
