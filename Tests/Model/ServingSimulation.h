#pragma once

#include "EngineModel.h"

#include <LibDecision/Placement/PlacementTable.h>
#include <LibDecision/Requests/RequestLifecycle.h>

#include <memory>
#include <random>
#include <string>
#include <vector>

namespace Ibisturn::Model {

/// A class of requests with the same traits.
struct RequestKind {
    std::string name;
    /// Arrival rate in each region outside its peak.
    double requestsPerSecond { 20 };
    std::uint32_t priority { 0 };
    double meanPromptTokens { 2000 };
    double meanAnswerTokens { 20 };
    double maxAnswerTokens { 1e6 };
    /// The first part of the answer is on time within `target`; the caller disconnects after `timeout`.
    Duration target { std::chrono::milliseconds(1200) };
    Duration timeout { std::chrono::milliseconds(3000) };
    Repeatability repeatability { Repeatability::Idempotent };
    /// Length and number of the prompt parts that sessions share, and of those that belong to one session.
    double sharedTokens { 300 };
    std::size_t sharedParts { 8 };
    double sessionTokens { 500 };
    std::size_t sessions { 200 };
    /// How often a caller retries after a refusal.
    std::uint32_t callerRetries { 1 };
    /// Whether the request's own part of the prompt is named too, so that the part before it names the session.
    bool hasOwnPart { false };
};

/// How an instance chooses the backend server of a request.
enum class PlacementPolicy : std::uint8_t {
    /// The product's placement table.
    Table,
    /// A random backend server of the region.
    Random,
    /// The backend server of the region with the lowest load in its last report.
    LeastLoad,
    /// Of two random backend servers of the region, the one with the lower load in its last report.
    TwoChoices,
};

/// Faults that are injected at random.
enum class ServingFaults : std::uint8_t {
    None,
    /// Backend servers crash and restart cold, leave, are added, become slow, truncate or lose answers.
    Servers,
};

/// A fault injected into the information that the instances get, to prove that the checks detect it.
enum class ServingMutation : std::uint8_t {
    None,
    /// A request whose answer was lost is treated as not run.
    TreatLostAnswerAsNotRun,
    /// The registry does not publish that a backend server is cold.
    HideColdStart,
    /// The registry does not publish that a backend server leaves.
    HideLeaving,
};

struct ServingOptions {
    std::size_t regions { 3 };
    std::size_t instancesPerRegion { 2 };
    std::size_t serversPerRegion { 3 };
    EngineParameters engine;
    std::vector<RequestKind> kinds;
    Duration length { std::chrono::seconds(30) };
    /// Factor on the arrival rate at a region's peak; the regions reach their peaks one after the other.
    double peakFactor { 1 };
    PlacementPolicy policy { PlacementPolicy::Table };
    PlacementLimits limits;
    /// Speeds of the backend servers relative to `engine`, in turn.
    std::vector<double> speeds { 1 };
    ServingFaults faults { ServingFaults::None };
    ServingMutation mutation { ServingMutation::None };
    Duration regionDelay { std::chrono::milliseconds(55) };
    /// How long a change of the registry takes to reach the instances.
    Duration registryDelay { std::chrono::milliseconds(300) };
};

/// Number of requests of a group by outcome.
struct KindOutcome {
    std::uint32_t sent { 0 };
    std::uint32_t onTime { 0 };
    std::uint32_t late { 0 };
    std::uint32_t refused { 0 };
    std::uint32_t failed { 0 };
};

/// Outcomes of all requests, and the work they caused.
struct ServingOutcome {
    std::vector<KindOutcome> kinds;
    /// All kinds together, by the caller's region, and by arrival time in windows of two seconds.
    std::vector<KindOutcome> regions;
    std::vector<KindOutcome> windows;
    std::uint64_t prefilledTokens { 0 };
    std::uint64_t sharedPrefilledTokens { 0 };
    /// The requests that the busiest backend server ran relative to its speed, over the mean.
    double busiestOverMean { 0 };
    std::uint32_t sentToOtherRegions { 0 };
    std::uint32_t attempts { 0 };
    /// Describes the first violated guarantee; empty if there was none.
    std::string violation;
};

/// Simulates, in virtual time, regions with instances and model engines, and callers that send, time out and retry. Each
/// instance runs the product's own placement table and request lifecycle; status between instances arrives with a delay.
/// Thread safety: one thread.
class ServingSimulation {
public:
    ServingSimulation(ServingOptions options, std::uint64_t seed);
    ~ServingSimulation();

    /// Runs the simulation to its end.
    ServingOutcome run();

private:
    struct Server;
    struct Instance;
    struct Request;
    struct RequestHandler;
    using RequestPointer = std::shared_ptr<Request>;
    using HandlerPointer = std::shared_ptr<RequestHandler>;

    bool chance(double probability) { return std::uniform_real_distribution<>(0, 1)(random_) < probability; }
    std::size_t randomIndex(std::size_t count) { return static_cast<std::size_t>(random_() % count); }
    std::size_t randomLoadIndex(std::size_t count) { return static_cast<std::size_t>(loadRandom_() % count); }
    double randomSize(double mean);
    RegionId regionAt(std::size_t region) const;
    Snapshot snapshot() const;
    double rateFactor(std::size_t region) const;

    void addServer(std::size_t region);
    void publishRegistry();
    void exchangePeerStatus();
    void scheduleArrival(std::size_t kind, std::size_t region);
    void sendRequest(const RequestPointer& request);
    void injectFaults();
    void crash(Server& server);

    HandlerPointer makeHandler(const RequestPointer& request, std::size_t instance, HopsLeft hopsLeft);
    void deliver(const HandlerPointer& handler, const RequestEvent& event);
    void perform(const HandlerPointer& handler, const RequestAction& action);
    void choosePlacement(const HandlerPointer& handler);
    PlacementDecision decide(Instance& instance, const PlacementQuery& query);
    void writeRequest(const HandlerPointer& handler, AttemptId attempt);
    void sendToServer(const HandlerPointer& handler, AttemptId attempt, const BackendServerId& id);
    void sendToRegion(const HandlerPointer& handler, AttemptId attempt);
    void endPlacement(const HandlerPointer& handler, PlacementOutcome outcome);
    void recordRun(Request& request, Server& server);
    void recordFirstPart(Request& request);
    void finish(const HandlerPointer& handler, bool isComplete, ResultCode code, Ran ran);
    void count(const Request& request, std::uint32_t KindOutcome::*field);
    void fail(const std::string& problem);

    ServingOptions options_;
    std::mt19937_64 random_;
    /// Separate source of randomness for the callers' requests, so that all policies get the same load.
    std::mt19937_64 loadRandom_;
    VirtualTime time_;
    TimePoint start_;
    std::vector<std::unique_ptr<Server>> servers_;
    std::vector<std::unique_ptr<Instance>> instances_;
    ServingOutcome outcome_;
    std::uint64_t lastRequest_ { 0 };
    std::uint64_t lastPart_ { 0 };
};

} // namespace Ibisturn::Model
