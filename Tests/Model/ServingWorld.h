#pragma once

#include "EngineModel.h"

#include <LibDecision/Placement/PlacementTable.h>
#include <LibDecision/Requests/RequestLifecycle.h>

#include <memory>
#include <random>
#include <string>
#include <vector>

namespace Ibisturn::Model {

/// Requests that are alike.
struct RequestKind {
    std::string name;
    /// In each region at its usual time.
    double perSecond { 20 };
    std::uint32_t priority { 0 };
    double meanPromptTokens { 2000 };
    double meanAnswerTokens { 20 };
    /// The first part of the answer is on time within this; the caller leaves after `patience`.
    Duration target { std::chrono::milliseconds(1200) };
    Duration patience { std::chrono::milliseconds(3000) };
    Repeatability repeatability { Repeatability::Idempotent };
    /// What sessions share of prompts, and how many sessions there are.
    double sharedTokens { 300 };
    std::size_t sharedParts { 8 };
    double sessionTokens { 500 };
    std::size_t sessions { 200 };
    /// How often a caller comes back that was refused.
    std::uint32_t returns { 1 };
};

/// Who decides where a request goes.
enum class PlacementPolicy : std::uint8_t {
    /// The product's table.
    Table,
    /// Any backend server of the region.
    Random,
    /// The backend server of the region that said last that it has least to do.
    LeastLoad,
};

/// Faults that a schedule draws from.
enum class ServingFaults : std::uint8_t {
    None,
    /// Backend servers crash and come back cold, leave, are added, become slow, garble or lose answers.
    Servers,
};

/// A fault put into what the instances are told, to show that the checks find it.
enum class ServingMutation : std::uint8_t {
    None,
    /// An answer that is lost is taken for a request that did not run.
    LostTakenForNotRun,
    /// Nobody says that a backend server is cold.
    ColdUntold,
    /// Nobody says that a backend server leaves.
    LeavingUntold,
};

struct ServingOptions {
    std::size_t regions { 3 };
    std::size_t instancesPerRegion { 2 };
    std::size_t serversPerRegion { 3 };
    EngineSpeed engine;
    std::vector<RequestKind> kinds;
    Duration length { std::chrono::seconds(30) };
    /// How much busier a region is at its peak than usual, which moves from region to region.
    double peak { 1 };
    PlacementPolicy policy { PlacementPolicy::Table };
    ServingFaults faults { ServingFaults::None };
    ServingMutation mutation { ServingMutation::None };
    Duration regionDelay { std::chrono::milliseconds(55) };
    /// How long the registry takes to tell of a change.
    Duration registryDelay { std::chrono::milliseconds(300) };
};

/// What became of the requests of one kind.
struct KindOutcome {
    std::uint32_t asked { 0 };
    std::uint32_t onTime { 0 };
    std::uint32_t late { 0 };
    std::uint32_t refused { 0 };
    std::uint32_t failed { 0 };
};

/// What callers got, and what it took.
struct ServingOutcome {
    std::vector<KindOutcome> kinds;
    /// Of all kinds, by the region of the caller, and by two seconds of arrival.
    std::vector<KindOutcome> regions;
    std::vector<KindOutcome> windows;
    std::uint64_t tokensRead { 0 };
    std::uint64_t sharedTokensRead { 0 };
    std::uint32_t sentAbroad { 0 };
    std::uint32_t attempts { 0 };
    /// A promise that was broken, in words; empty if none was.
    std::string violation;
};

/// Regions with instances and model engines, and callers that send, wait, leave and come back, on virtual time. Each
/// instance decides with the product's own table and request lives; what the instances tell each other arrives late.
/// Thread safety: one thread.
class ServingWorld {
public:
    ServingWorld(ServingOptions options, std::uint64_t seed);
    ~ServingWorld();

    /// Plays it to the end.
    ServingOutcome run();

private:
    struct Server;
    struct Instance;
    struct Request;
    struct Attempt;
    using RequestPointer = std::shared_ptr<Request>;
    using AttemptPointer = std::shared_ptr<Attempt>;

    bool chance(double probability) { return std::uniform_real_distribution<>(0, 1)(random_) < probability; }
    std::size_t pick(std::size_t count) { return static_cast<std::size_t>(random_() % count); }
    std::size_t drawOf(std::size_t count) { return static_cast<std::size_t>(load_() % count); }
    double sizeAround(double mean);
    RegionId regionAt(std::size_t region) const;
    Snapshot snapshot() const;
    double rateFactor(std::size_t region) const;

    void addServer(std::size_t region);
    void publish();
    void trade();
    void planArrival(std::size_t kind, std::size_t region);
    void arrive(const RequestPointer& request);
    void disturb();
    void crash(Server& server);

    AttemptPointer makeLife(const RequestPointer& request, std::size_t instance, HopsLeft hops);
    void deliver(const AttemptPointer& life, const RequestEvent& event);
    void act(const AttemptPointer& life, const RequestAction& action);
    void choose(const AttemptPointer& life);
    PlacementDecision decide(Instance& instance, const PlacementQuery& ask);
    void handOver(const AttemptPointer& life, AttemptId attempt);
    void handToServer(const AttemptPointer& life, AttemptId attempt, const BackendServerId& id);
    void handToRegion(const AttemptPointer& life, AttemptId attempt);
    void endPlaced(const AttemptPointer& life, PlacementOutcome outcome);
    void noteRun(Request& request, Server& server);
    void answerFirst(Request& request);
    void finish(const AttemptPointer& life, bool isWhole, ResultCode code, Ran ran);
    void count(const Request& request, std::uint32_t KindOutcome::*field);
    void fail(const std::string& problem);

    ServingOptions options_;
    std::mt19937_64 random_;
    /// Draws what callers ask, so that all policies get the same load.
    std::mt19937_64 load_;
    VirtualTime time_;
    TimePoint start_;
    std::vector<std::unique_ptr<Server>> servers_;
    std::vector<std::unique_ptr<Instance>> instances_;
    ServingOutcome outcome_;
    std::uint64_t lastRequest_ { 0 };
};

} // namespace Ibisturn::Model
