#include "RequestWorld.h"

#include <algorithm>
#include <array>

#include <fmt/format.h>

namespace Ibisturn::Tests {

namespace {

using std::chrono::milliseconds;

constexpr int requestCount = 3;
constexpr int origin = 0;
constexpr int nodeCount = 4;
constexpr milliseconds maxStepDelay(20);
constexpr milliseconds maxAdoptionDelay(40);
constexpr milliseconds changeWindow(200);
constexpr milliseconds deadline(400);

std::string tokenOf(int request, int token)
{
    return fmt::format("{}:{}", request, token);
}

// The origin is in the home region; there is a receiver in each region.
const RegionId& regionOf(int node)
{
    static const std::array<RegionId, nodeCount> regions { RequestWorld::home, RequestWorld::home, RequestWorld::initiallyPermitted,
        RequestWorld::neverPermitted };
    return regions.at(static_cast<std::size_t>(node));
}

} // namespace

const RegionId RequestWorld::home("khomas");
const RegionId RequestWorld::initiallyPermitted("omaheke");
const RegionId RequestWorld::neverPermitted("erongo");

/// A request at one instance, with the lifecycle under test.
struct RequestWorld::Actor {
    int request;
    int node;
    ActorPointer origin;
    AttemptId originAttempt;
    RequestLifecycle lifecycle;
    int target { 0 };
    int nextToken { 0 };
};

RequestWorld::RequestWorld(std::uint64_t seed, Mutation mutation)
    : random_(seed)
    , mutation_(mutation)
    , changedAt_(TimePoint {} + milliseconds(random_() % changeWindow.count()))
    , forbiddenFrom_(changedAt_ + maxAdoptionDelay + maxStepDelay)
{
    for (int node = 0; node < nodeCount; ++node)
        adoptedAt_.push_back(changedAt_ + milliseconds(random_() % maxAdoptionDelay.count()));
}

void RequestWorld::run()
{
    for (int request = 0; request < requestCount; ++request) {
        answers_[request].repeatability = chance(50) ? Repeatability::Idempotent : Repeatability::NonIdempotent;
        const auto actor = makeActor(request, origin, nullptr, {});
        budget_.recordRequest(now_);
        deliverLater(actor, HeadRead { ResultCode::Ok });
        if (chance(15)) {
            schedule([this, actor, request] {
                answers_[request].hasDisconnected = true;
                deliver(actor, CallerDisconnected {}, {});
            });
        }
    }
    while (!steps_.empty()) {
        const auto step = steps_.extract(steps_.begin());
        now_ = step.key();
        step.mapped()();
    }
}

RequestWorld::ActorPointer RequestWorld::makeActor(int request, int node, ActorPointer originActor, AttemptId originAttempt)
{
    RequestLimits limits { originActor ? HopsLeft::None : HopsLeft::One, now_ + deadline, [this](TimePoint now) { return budget_.takeRetry(now); } };
    if (mutation_ == Mutation::ReceiverForwards)
        limits.hops = HopsLeft::One;
    auto actor = std::make_shared<Actor>(Actor { request, node, std::move(originActor), originAttempt, RequestLifecycle(limits) });
    // The instance rechecks access when it adopts the change.
    if (adoptedAt_.at(static_cast<std::size_t>(node)) >= now_) {
        steps_.emplace(adoptedAt_.at(static_cast<std::size_t>(node)), [this, actor] {
            const auto access = accessAt(actor->node);
            if (access != ResultCode::Ok)
                deliver(actor, AccessReviewed { access }, {});
        });
    }
    return actor;
}

void RequestWorld::schedule(std::function<void()> step)
{
    steps_.emplace(now_ + milliseconds(1 + random_() % (maxStepDelay.count() - 1)), std::move(step));
}

ResultCode RequestWorld::accessAt(int node) const
{
    if (mutation_ == Mutation::AccessIgnored)
        return ResultCode::Ok;
    const auto& region = regionOf(node);
    const bool isForbidden = region == neverPermitted || (region == initiallyPermitted && now_ >= adoptedAt_.at(static_cast<std::size_t>(node)));
    return isForbidden ? ResultCode::ResidencyRefused : ResultCode::Ok;
}

void RequestWorld::deliverLater(const ActorPointer& actor, const RequestEvent& event, const Payload& payload)
{
    // Delivers some events a second time and later, when their attempt may have ended.
    const bool isDuplicated = chance(10) && !std::holds_alternative<AnswerPartArrived>(event);
    schedule([=, this] { deliver(actor, event, payload); });
    if (isDuplicated)
        schedule([=, this] { schedule([=, this] { deliver(actor, event, payload); }); });
}

void RequestWorld::deliver(const ActorPointer& actor, const RequestEvent& event, const Payload& payload)
{
    for (const auto& action : actor->lifecycle.handle(event, now_))
        perform(actor, action, event, payload);
}

void RequestWorld::perform(const ActorPointer& actor, const RequestAction& action, const RequestEvent& cause, const Payload& payload)
{
    if (std::holds_alternative<ReadBody>(action))
        deliverLater(actor, BodyRead { answers_[actor->request].repeatability });
    if (std::holds_alternative<ChoosePlace>(action))
        choose(actor);
    if (const auto* dispatch = std::get_if<DispatchLocally>(&action))
        connect(actor, dispatch->attempt, actor->node);
    if (const auto* forward = std::get_if<ForwardToPeer>(&action))
        connect(actor, forward->attempt, std::stoi(forward->instance.value()));
    if (const auto* writing = std::get_if<WriteRequest>(&action))
        writeRequest(actor, writing->attempt);
    if (std::holds_alternative<RelayToCaller>(action) || std::holds_alternative<EndAnswer>(action))
        relayToOrigin(actor, cause, payload);
    if (const auto* refusal = std::get_if<AnswerWithError>(&action))
        reportFailure(actor, refusal->code, refusal->ran);
    if (const auto* truncation = std::get_if<TruncateWithError>(&action))
        reportFailure(actor, truncation->code, truncation->ran);
}

// Chooses any place at random: the invariants must not depend on a good choice.
void RequestWorld::choose(const ActorPointer& actor)
{
    const auto node = static_cast<int>(random_() % nodeCount);
    Place place = RunHere { BackendServerId(std::to_string(actor->node)) };
    if (node != actor->node && chance(70))
        place = ForwardTo { InstanceId(std::to_string(node)) };
    if (chance(5))
        place = RefuseRequest { ResultCode::NoBackendServer };
    deliverLater(actor, PlaceChosen { place });
}

void RequestWorld::connect(const ActorPointer& actor, AttemptId attempt, int target)
{
    actor->target = target;
    if (chance(20))
        return deliverLater(actor, AttemptFailed { attempt, ResultCode::BackendUnreachable, Ran::No });
    // Access is decided at the moment the request is sent.
    schedule([=, this] { deliver(actor, ConnectionReady { attempt, accessAt(actor->node) }, {}); });
}

void RequestWorld::writeRequest(const ActorPointer& actor, AttemptId attempt)
{
    // The sender cannot know whether its message was lost.
    if (chance(10))
        return deliverLater(actor, AttemptFailed { attempt, ResultCode::BackendTimeout, Ran::Unknown });
    if (chance(10))
        deliverLater(actor, AttemptFailed { attempt, ResultCode::OutcomeUnknown, Ran::Unknown });
    const int copies = mutation_ == Mutation::SendRequestTwice && chance(10) ? 2 : 1;
    for (int copy = 0; copy < copies; ++copy) {
        if (actor->target == actor->node) {
            schedule([=, this] { runBackend(actor, attempt, actor->nextToken); });
            continue;
        }
        const auto receiver = makeActor(actor->request, actor->target, actor, attempt);
        receiver->nextToken = actor->nextToken;
        deliverLater(receiver, HeadRead { accessAt(actor->target) });
        // The link fails, and each side detects it at a different time.
        if (chance(10)) {
            deliverLater(actor, AttemptFailed { attempt, ResultCode::OutcomeUnknown, Ran::Unknown });
            deliverLater(receiver, CallerDisconnected {});
        }
    }
}

void RequestWorld::runBackend(const ActorPointer& actor, AttemptId attempt, int firstToken)
{
    int hops = 0;
    for (auto sender = actor->origin; sender; sender = sender->origin)
        ++hops;
    const auto resume = actor->request % 2 == 0 ? ResumeSupport::Supported : ResumeSupport::Unsupported;
    // A backend server that cannot resume starts from the beginning in any case.
    if (resume == ResumeSupport::Unsupported)
        firstToken = 0;
    runs_.push_back({ actor->request, now_, regionOf(actor->node), hops, firstToken });
    if (chance(15))
        return breakAnswer(actor, attempt, false);
    schedule([=, this] {
        deliver(actor, AnswerBegan { attempt, resume }, {});
        answerStep(actor, attempt, firstToken);
    });
}

void RequestWorld::answerStep(const ActorPointer& actor, AttemptId attempt, int token)
{
    if (chance(8))
        return breakAnswer(actor, attempt, true);
    if (token >= tokenCount)
        return schedule([=, this] { deliver(actor, AnswerEnded { attempt }, {}); });
    const int request = mutation_ == Mutation::AnswersSwapped ? (actor->request + 1) % requestCount : actor->request;
    schedule([=, this] {
        deliver(actor, AnswerPartArrived { attempt }, { tokenOf(request, token), regionOf(actor->node) });
        answerStep(actor, attempt, token + 1);
    });
}

// A crash truncates the answer; a frozen backend server continues it after the timeout.
void RequestWorld::breakAnswer(const ActorPointer& actor, AttemptId attempt, bool hasBegun)
{
    if (hasBegun && mutation_ == Mutation::CleanEndOnTruncation)
        return deliver(actor, AnswerEnded { attempt }, {});
    const auto code = hasBegun ? ResultCode::AnswerCut : ResultCode::OutcomeUnknown;
    deliver(actor, AttemptFailed { attempt, code, hasBegun ? Ran::Yes : Ran::Unknown }, {});
    if (chance(50) && !hasBegun)
        schedule([=, this] { deliver(actor, AnswerBegan { attempt, ResumeSupport::Unsupported }, {}); });
    schedule([=, this] { deliver(actor, AnswerPartArrived { attempt }, { tokenOf(actor->request, 0), regionOf(actor->node) }); });
    schedule([=, this] { deliver(actor, AnswerEnded { attempt }, {}); });
}

void RequestWorld::relayToOrigin(const ActorPointer& actor, const RequestEvent& cause, const Payload& payload)
{
    const bool isPart = std::holds_alternative<AnswerPartArrived>(cause);
    if (isPart)
        ++actor->nextToken;
    if (actor->origin) {
        RequestEvent event = AnswerEnded { actor->originAttempt };
        if (isPart)
            event = AnswerPartArrived { actor->originAttempt };
        if (const auto* began = std::get_if<AnswerBegan>(&cause))
            event = AnswerBegan { actor->originAttempt, began->resume };
        return deliver(actor->origin, event, payload);
    }
    auto& answer = answers_[actor->request];
    if (isPart) {
        answer.tokens.push_back(payload.token);
        if (payload.generatedIn != home)
            answer.lastForeignTokenAt = now_;
    }
    if (std::holds_alternative<AnswerEnded>(cause))
        ++answer.ends;
}

void RequestWorld::reportFailure(const ActorPointer& actor, ResultCode code, Ran ran)
{
    if (!actor->origin) {
        auto& answer = answers_[actor->request];
        ++answer.errors;
        answer.ran = ran;
        return;
    }
    if (mutation_ == Mutation::PeerDeniesRun)
        ran = Ran::No;
    deliverLater(actor->origin, AttemptFailed { actor->originAttempt, code, ran });
}

std::string findViolation(const RequestWorld& world)
{
    std::map<int, int> runs;
    for (const auto& run : world.runs()) {
        ++runs[run.request];
        const bool isLate = run.region == RequestWorld::initiallyPermitted && run.at > world.forbiddenFrom();
        if (run.region == RequestWorld::neverPermitted || isLate)
            return fmt::format("request {} ran in {}", run.request, run.region);
        if (run.hops > 1)
            return fmt::format("request {} took {} hops", run.request, run.hops);
    }
    for (const auto& [request, answer] : world.answers()) {
        if (answer.repeatability == Repeatability::NonIdempotent && runs[request] > 1)
            return fmt::format("non-idempotent request {} ran {} times", request, runs[request]);
        if (answer.errors > 0 && answer.ran == Ran::No && runs[request] > 0)
            return fmt::format("request {} ran after 'not run'", request);
        if (answer.ends + answer.errors != 1)
            return fmt::format("request {} has {} ends and {} errors", request, answer.ends, answer.errors);
        if (answer.lastForeignTokenAt > world.forbiddenFrom())
            return fmt::format("request {} got a token from a forbidden region", request);
        for (std::size_t index = 0; index < answer.tokens.size(); ++index) {
            if (answer.tokens.at(index) != tokenOf(request, static_cast<int>(index)))
                return fmt::format("request {} got {} as token {}", request, answer.tokens.at(index), index);
        }
        if (answer.ends == 1 && answer.tokens.size() != RequestWorld::tokenCount)
            return fmt::format("request {} ended after {} tokens", request, answer.tokens.size());
    }
    return {};
}

} // namespace Ibisturn::Tests
