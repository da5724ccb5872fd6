#pragma once

#include <LibDecision/Requests/RequestLifecycle.h>
#include <LibDecision/Requests/RetryBudget.h>

#include <functional>
#include <map>
#include <memory>
#include <random>
#include <string>
#include <vector>

namespace Ibisturn::Tests {

/// A deliberate defect of the simulation that the checker must detect.
enum class Mutation : std::uint8_t {
    None,
    SendRequestTwice,
    CleanEndOnTruncation,
    PeerDeniesRun,
    AccessIgnored,
    AnswersSwapped,
    ReceiverForwards,
};

/// One run as observed by a simulated backend server.
struct ObservedRun {
    int request { 0 };
    TimePoint at;
    RegionId region;
    int hops { 0 };
    int firstToken { 0 };
};

/// The answer as observed by a simulated caller.
struct ObservedAnswer {
    Repeatability repeatability { Repeatability::Idempotent };
    std::vector<std::string> tokens;
    /// When the last token generated outside the home region arrived.
    TimePoint lastForeignTokenAt;
    int ends { 0 };
    int errors { 0 };
    Ran ran { Ran::Unknown };
    bool hasDisconnected { false };
};

/// Simulates one origin, three receiving instances, a backend server at each, three callers, and a seeded schedule of
/// faults at every step: failed connections, broken links, lost, late, duplicated or reordered messages,
/// truncated answers, crashes, freezes, a revoked permission, and callers that disconnect. Each instance runs the real RequestLifecycle.
class RequestWorld {
public:
    RequestWorld(std::uint64_t seed, Mutation mutation);

    /// Runs the schedule to its end.
    void run();

    /// Observations for the checker.
    const std::vector<ObservedRun>& runs() const { return runs_; }
    const std::map<int, ObservedAnswer>& answers() const { return answers_; }
    /// The time from which nothing may run outside the home region.
    TimePoint forbiddenFrom() const { return forbiddenFrom_; }

    static constexpr int tokenCount = 4;
    static const RegionId home;
    static const RegionId initiallyPermitted;
    static const RegionId neverPermitted;

private:
    struct Actor;
    using ActorPointer = std::shared_ptr<Actor>;
    /// Data that is sent with an event towards the caller.
    struct Payload {
        std::string token;
        RegionId generatedIn;
    };

    void schedule(std::function<void()> step);
    bool chance(int percent) { return static_cast<int>(random_() % 100) < percent; }
    void deliver(const ActorPointer& actor, const RequestEvent& event, const Payload& payload);
    void deliverLater(const ActorPointer& actor, const RequestEvent& event, const Payload& payload = {});
    void perform(const ActorPointer& actor, const RequestAction& action, const RequestEvent& cause, const Payload& payload);
    void choose(const ActorPointer& actor);
    void connect(const ActorPointer& actor, AttemptId attempt, int target);
    void writeRequest(const ActorPointer& actor, AttemptId attempt);
    void runBackend(const ActorPointer& actor, AttemptId attempt, int firstToken);
    void answerStep(const ActorPointer& actor, AttemptId attempt, int token);
    void breakAnswer(const ActorPointer& actor, AttemptId attempt, bool hasBegun);
    void relayToOrigin(const ActorPointer& actor, const RequestEvent& cause, const Payload& payload);
    void reportFailure(const ActorPointer& actor, ResultCode code, Ran ran);
    ResultCode accessAt(int node) const;
    ActorPointer makeActor(int request, int node, ActorPointer origin, AttemptId originAttempt);

    std::mt19937_64 random_;
    Mutation mutation_;
    TimePoint now_ {};
    TimePoint changedAt_;
    TimePoint forbiddenFrom_;
    std::vector<TimePoint> adoptedAt_;
    RetryBudget budget_;
    std::multimap<TimePoint, std::function<void()>> steps_;
    std::vector<ObservedRun> runs_;
    std::map<int, ObservedAnswer> answers_;
};

/// Describes the first violation found; empty if there is none.
std::string findViolation(const RequestWorld& world);

} // namespace Ibisturn::Tests
