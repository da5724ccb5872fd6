#pragma once

#include <LibDecision/Requests/RequestLife.h>
#include <LibDecision/Requests/RetryBudget.h>

#include <functional>
#include <map>
#include <memory>
#include <random>
#include <string>
#include <vector>

namespace Ibisturn::Tests {

/// A fault of the fakes themselves, which the checker has to notice.
enum class Mutation : std::uint8_t {
    None,
    HandOverTwice,
    CleanEndOnCut,
    PeerDeniesRun,
    AccessIgnored,
    AnswersCrossed,
    ReceiverForwards,
};

/// What a fake backend server saw of one run.
struct SeenRun {
    int request { 0 };
    TimePoint at;
    RegionId region;
    int hops { 0 };
    int firstToken { 0 };
};

/// What a fake caller saw of its answer.
struct SeenAnswer {
    Repeatability repeatability { Repeatability::Idempotent };
    std::vector<std::string> tokens;
    /// When the last token came that was made outside the home region.
    TimePoint lastForeignTokenAt;
    int ends { 0 };
    int errors { 0 };
    Ran ran { Ran::Unknown };
    bool hasLeft { false };
};

/// One origin, two receiving instances, a backend server at each, three callers, and a seeded schedule of
/// faults at every step: connections that fail, messages that are lost, late, doubled or crossed, cuts,
/// crashes, freezes, a withdrawn permission, a caller that leaves. Each instance runs the real RequestLife.
class RequestWorld {
public:
    RequestWorld(std::uint64_t seed, Mutation mutation);

    /// Runs the schedule to its end.
    void run();

    /// What a checker may read.
    const std::vector<SeenRun>& runs() const { return runs_; }
    const std::map<int, SeenAnswer>& answers() const { return answers_; }
    /// From when on nothing may run outside the home region.
    TimePoint forbiddenFrom() const { return forbiddenFrom_; }

    static constexpr int tokenCount = 4;
    static const RegionId home;
    static const RegionId permittedAtFirst;
    static const RegionId neverPermitted;

private:
    struct Actor;
    using ActorPointer = std::shared_ptr<Actor>;
    /// What travels with an event towards the caller.
    struct Payload {
        std::string token;
        RegionId madeIn;
    };

    void after(std::function<void()> step);
    bool chance(int percent) { return static_cast<int>(random_() % 100) < percent; }
    void deliver(const ActorPointer& actor, const RequestEvent& event, const Payload& payload);
    void deliverLater(const ActorPointer& actor, const RequestEvent& event, const Payload& payload = {});
    void act(const ActorPointer& actor, const RequestAction& action, const RequestEvent& cause, const Payload& payload);
    void choose(const ActorPointer& actor);
    void connect(const ActorPointer& actor, AttemptId attempt, int target);
    void handOver(const ActorPointer& actor, AttemptId attempt);
    void runBackend(const ActorPointer& actor, AttemptId attempt, int firstToken);
    void answerStep(const ActorPointer& actor, AttemptId attempt, int token);
    void breakAnswer(const ActorPointer& actor, AttemptId attempt, bool hasBegun);
    void passDown(const ActorPointer& actor, const RequestEvent& cause, const Payload& payload);
    void failDown(const ActorPointer& actor, ResultCode code, Ran ran);
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
    std::vector<SeenRun> runs_;
    std::map<int, SeenAnswer> answers_;
};

/// What the checker finds wrong, in words; empty if nothing.
std::string findViolation(const RequestWorld& world);

} // namespace Ibisturn::Tests
