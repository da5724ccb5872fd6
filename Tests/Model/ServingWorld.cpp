#include <LibKernel/Asio.h>

#include "ServingWorld.h"

#include <LibDecision/Requests/RetryBudget.h>

#include <algorithm>
#include <cmath>
#include <deque>
#include <numbers>
#include <utility>

#include <fmt/format.h>

namespace Ibisturn::Model {

namespace {

using namespace std::chrono_literals;

const ServiceId service("model");
constexpr Duration hopInRegion = 300us;
constexpr Duration newsPeriod = 100ms;
constexpr Duration window = 2s;
constexpr Duration coldPeriod = 3s;
constexpr double coldRate = 4.6;
/// A cold server may exceed the cold rate by this factor, plus this number of requests, as the service's specification allows.
constexpr double coldTolerance = 1.5;
constexpr double coldSlack = 3;
/// How long a leaving server keeps serving after the registry has published that it leaves.
constexpr Duration drainTime = 3s;
/// How long the entry of a crashed server remains registered.
constexpr Duration leaseLength = 3s;

} // namespace

struct ServingWorld::Server {
    BackendState state;
    std::size_t region { 0 };
    std::unique_ptr<EngineModel> engine;
    bool isUp { true };
    bool isListed { true };
    std::optional<TimePoint> leavingSince;
    double lostShare { 0 };
    std::deque<TimePoint> coldArrivals;
};

struct ServingWorld::Instance {
    Instance(InstanceId name, std::size_t at, const RegionId& here)
        : id(std::move(name))
        , region(at)
        , table(here)
    {
    }
    InstanceId id;
    std::size_t region;
    PlacementTable table;
    RetryBudget budget;
    std::vector<BackendServerId> usable;
    std::map<BackendServerId, std::uint32_t> saidLoads;
};

struct ServingWorld::Request {
    std::uint64_t id { 0 };
    std::size_t kind { 0 };
    std::size_t region { 0 };
    PlacementAsk ask;
    std::uint32_t answerTokens { 0 };
    TimePoint firstAsked;
    std::uint32_t returns { 0 };
    std::uint32_t runs { 0 };
    bool isDenied { false };
    bool isOver { false };
    std::optional<TimePoint> firstPart;
};

struct ServingWorld::Attempt {
    Attempt(RequestPointer asked, std::size_t at, HopsLeft left, RequestTerms terms)
        : request(std::move(asked))
        , instance(at)
        , hops(left)
        , life(std::move(terms))
    {
    }
    RequestPointer request;
    std::size_t instance;
    HopsLeft hops;
    RequestLife life;
    AttemptPointer origin;
    AttemptId originAttempt;
    AttemptPointer receiver;
    BackendServerId server;
    RegionId target;
    std::optional<PlacementId> placed;
    std::optional<EngineJobId> job;
    std::set<RegionId> failedRegions;
    Duration retryAfter {};
};

ServingWorld::ServingWorld(ServingOptions options, std::uint64_t seed)
    : options_(std::move(options))
    , random_(seed)
    , load_(seed)
    , start_(time_.now())
{
    outcome_.kinds.resize(options_.kinds.size());
    outcome_.regions.resize(options_.regions);
    outcome_.windows.resize(static_cast<std::size_t>(options_.length / window) + 1);
    for (std::size_t region = 0; region < options_.regions; ++region) {
        for (std::size_t index = 0; index < options_.serversPerRegion; ++index)
            addServer(region);
        for (std::size_t index = 0; index < options_.instancesPerRegion; ++index)
            instances_.push_back(std::make_unique<Instance>(InstanceId(fmt::format("i{}-{}", region, index)), region, regionAt(region)));
    }
    for (const auto& server : servers_)
        server->state.coldUntil = {};
    for (const auto& instance : instances_) {
        std::vector<InstanceId> inRegion;
        for (const auto& other : instances_) {
            if (other->region == instance->region)
                inRegion.push_back(other->id);
        }
        instance->table.setInstances(instance->id, inRegion);
    }
}

ServingWorld::~ServingWorld() = default;

RegionId ServingWorld::regionAt(std::size_t region) const
{
    return RegionId(fmt::format("r{}", region));
}

Snapshot ServingWorld::snapshot() const
{
    Service engines;
    engines.id = service;
    engines.coldRate = coldRate;
    engines.coldPeriod = coldPeriod;
    engines.engine = EngineTraits { options_.engine.slots, options_.engine.memory, 1 };
    return { Revision(1), { { "services", service.value(), Revision(1), engines } } };
}

double ServingWorld::sizeAround(double mean)
{
    return std::max(1.0, std::exponential_distribution<>(1 / mean)(load_));
}

double ServingWorld::rateFactor(std::size_t region) const
{
    const double share = std::chrono::duration<double>(time_.now() - start_) / std::chrono::duration<double>(options_.length);
    const double phase = share - static_cast<double>(region) / static_cast<double>(options_.regions);
    return 1 + (options_.peak - 1) * std::max(0.0, std::cos(2 * std::numbers::pi * phase));
}

ServingOutcome ServingWorld::run()
{
    publish();
    time_.runUntil(start_ + options_.registryDelay);
    start_ = time_.now();
    time_.every(newsPeriod, [this] { trade(); });
    if (options_.faults == ServingFaults::Servers)
        time_.every(newsPeriod, [this] { disturb(); });
    for (std::size_t kind = 0; kind < options_.kinds.size(); ++kind) {
        for (std::size_t region = 0; region < options_.regions; ++region)
            planArrival(kind, region);
    }
    Duration longest {};
    for (const auto& kind : options_.kinds)
        longest = std::max(longest, kind.patience);
    time_.runUntil(start_ + options_.length + longest + 5s);
    for (const auto& server : servers_) {
        outcome_.tokensRead += server->engine->tokensRead();
        outcome_.sharedTokensRead += server->engine->sharedTokensRead();
    }
    return outcome_;
}

void ServingWorld::addServer(std::size_t region)
{
    auto server = std::make_unique<Server>();
    server->region = region;
    server->engine = std::make_unique<EngineModel>(time_, options_.engine);
    auto& state = server->state;
    state.server.id = BackendServerId(fmt::format("s{}", servers_.size()));
    state.server.service = service;
    state.server.endpoint = { "10.0.0.1", static_cast<std::uint16_t>(8000 + servers_.size()) };
    state.server.region = regionAt(region);
    state.server.dataCentre = DataCentreId(regionAt(region).value() + "-a");
    state.server.slots = options_.engine.slots;
    state.coldUntil = time_.now() + coldPeriod;
    servers_.push_back(std::move(server));
}

// All instances receive the present registry after the registry's delay.
void ServingWorld::publish()
{
    std::vector<BackendState> states;
    for (const auto& server : servers_) {
        if (!server->isListed || (server->leavingSince && options_.mutation != ServingMutation::LeavingUntold))
            continue;
        states.push_back(server->state);
        if (options_.mutation == ServingMutation::ColdUntold)
            states.back().coldUntil = {};
    }
    time_.after(options_.registryDelay, [this, states] {
        const auto known = snapshot();
        for (const auto& instance : instances_) {
            instance->table.setServers(states, known);
            instance->usable.clear();
            for (const auto& state : states) {
                if (state.server.region == regionAt(instance->region))
                    instance->usable.push_back(state.server.id);
            }
        }
    });
}

void ServingWorld::trade()
{
    for (const auto& sender : instances_) {
        const auto loads = sender->table.ownLoads();
        const auto outlooks = sender->table.outlooks(time_.now());
        for (const auto& receiver : instances_) {
            if (receiver == sender)
                continue;
            auto& table = receiver->table;
            if (receiver->region == sender->region)
                time_.after(hopInRegion, [this, &table, from = sender->id, loads] { table.onPeerLoad(time_.now(), from, loads); });
            else
                time_.after(options_.regionDelay, [this, &table, from = regionAt(sender->region), outlooks] { table.onOutlook(time_.now(), from, outlooks); });
        }
    }
}

void ServingWorld::planArrival(std::size_t kind, std::size_t region)
{
    const double rate = options_.kinds[kind].perSecond * rateFactor(region);
    const auto wait = std::chrono::duration_cast<Duration>(std::chrono::duration<double>(std::exponential_distribution<>(rate)(load_)));
    time_.after(wait, [this, kind, region] {
        if (time_.now() >= start_ + options_.length)
            return;
        const auto& traits = options_.kinds[kind];
        auto request = std::make_shared<Request>();
        request->kind = kind;
        request->region = region;
        request->firstAsked = time_.now();
        request->returns = traits.returns;
        request->answerTokens = static_cast<std::uint32_t>(sizeAround(traits.meanAnswerTokens));
        const auto base = (kind + 1) << 32U;
        const auto session = drawOf(traits.sessions) * options_.regions + region;
        auto& ask = request->ask;
        ask.service = service;
        ask.priority = traits.priority;
        ask.prompt = { { base + drawOf(traits.sharedParts), TokenCount(static_cast<std::int64_t>(traits.sharedTokens)) },
            { base + (1U << 20U) + session, TokenCount(static_cast<std::int64_t>(traits.sessionTokens)) } };
        ask.promptTokens = TokenCount(static_cast<std::int64_t>(traits.sharedTokens + traits.sessionTokens + sizeAround(traits.meanPromptTokens)));
        ask.mostAnswerTokens = TokenCount(request->answerTokens);
        ask.target = time_.now() + traits.target;
        ask.deadline = time_.now() + traits.patience;
        count(*request, &KindOutcome::asked);
        arrive(request);
        planArrival(kind, region);
    });
}

void ServingWorld::arrive(const RequestPointer& request)
{
    request->id = ++lastRequest_;
    request->ask.spread = random_();
    const auto instance = request->region * options_.instancesPerRegion + pick(options_.instancesPerRegion);
    instances_[instance]->budget.noteRequest(time_.now());
    const auto life = makeLife(request, instance, HopsLeft::One);
    time_.after(request->ask.deadline - time_.now(), [this, life] {
        if (life->request->isOver)
            return;
        life->request->isOver = true;
        count(*life->request, &KindOutcome::failed);
        deliver(life, CallerLeft {});
    });
    deliver(life, HeadRead { ResultCode::Ok });
}

void ServingWorld::disturb()
{
    auto& server = *servers_[pick(servers_.size())];
    const bool isSound = server.isUp && server.isListed && !server.leavingSince;
    if (isSound && chance(0.03)) {
        crash(server);
    } else if (isSound && chance(0.02)) {
        server.leavingSince = time_.now();
        addServer(server.region);
        publish();
        time_.after(drainTime + options_.registryDelay, [&server] { server.isListed = false; });
    } else if (isSound && chance(0.03)) {
        server.engine->setSlowness(4);
        time_.after(4s, [&server] { server.engine->setSlowness(1); });
    } else if (isSound && chance(0.03)) {
        server.lostShare = 0.3;
        time_.after(4s, [&server] { server.lostShare = 0; });
    }
}

void ServingWorld::crash(Server& server)
{
    server.isUp = false;
    server.engine->crash();
    time_.after(leaseLength, [this, &server] {
        server.isListed = false;
        publish();
    });
    time_.after(leaseLength + 2s, [this, &server] {
        server.isUp = server.isListed = true;
        server.coldArrivals.clear();
        server.state.server.started = StartTime(server.state.server.started.count() + 1);
        server.state.coldUntil = time_.now() + coldPeriod;
        publish();
    });
}

ServingWorld::AttemptPointer ServingWorld::makeLife(const RequestPointer& request, std::size_t instance, HopsLeft hops)
{
    RequestTerms terms { hops, request->ask.deadline, [this, instance](TimePoint now) { return instances_[instance]->budget.takeRetry(now); } };
    return std::make_shared<Attempt>(request, instance, hops, std::move(terms));
}

void ServingWorld::deliver(const AttemptPointer& life, const RequestEvent& event)
{
    for (const auto& action : life->life.handle(event, time_.now())) {
        if (!std::holds_alternative<PassOn>(action) && !std::holds_alternative<EndAnswer>(action)) {
            act(life, action);
            continue;
        }
        const bool isEnd = std::holds_alternative<EndAnswer>(action);
        if (isEnd || std::holds_alternative<PartArrived>(event)) {
            if (!life->origin) {
                if (isEnd)
                    finish(life, true, ResultCode::Ok, Ran::Yes);
                else
                    answerFirst(*life->request);
                continue;
            }
            time_.after(options_.regionDelay, [this, life, isEnd] {
                if (isEnd)
                    return deliver(life->origin, AnswerEnded { life->originAttempt });
                deliver(life->origin, AnswerBegan { life->originAttempt, ResumeSupport::Unsupported });
                deliver(life->origin, PartArrived { life->originAttempt });
            });
        }
    }
}

void ServingWorld::act(const AttemptPointer& life, const RequestAction& action)
{
    if (std::holds_alternative<TakeBody>(action))
        return deliver(life, BodyTaken { options_.kinds[life->request->kind].repeatability });
    if (std::holds_alternative<ChoosePlace>(action))
        return choose(life);
    if (const auto* here = std::get_if<DispatchHere>(&action)) {
        life->server = here->backendServer;
        life->placed = instances_[life->instance]->table.begin(time_.now(), life->server, life->request->ask);
        return time_.after(hopInRegion, [this, life, attempt = here->attempt] { deliver(life, HandOverAsked { attempt, ResultCode::Ok }); });
    }
    if (const auto* forward = std::get_if<ForwardToPeer>(&action)) {
        life->server = {};
        return deliver(life, HandOverAsked { forward->attempt, ResultCode::Ok });
    }
    if (const auto* handing = std::get_if<HandOver>(&action))
        return handOver(life, handing->attempt);
    if (std::holds_alternative<CancelAttempt>(action)) {
        for (const auto& server : servers_) {
            if (life->job && server->state.server.id == life->server)
                server->engine->cancel(*std::exchange(life->job, std::nullopt));
        }
        endPlaced(life, PlacementOutcome::Unknown);
        if (life->receiver)
            time_.after(options_.regionDelay, [this, receiver = std::exchange(life->receiver, nullptr)] { deliver(receiver, CallerLeft {}); });
        return;
    }
    if (const auto* refusal = std::get_if<AnswerWithError>(&action))
        return finish(life, false, refusal->code, refusal->ran);
    if (const auto* cut = std::get_if<CutWithError>(&action))
        finish(life, false, cut->code, cut->ran);
}

PlacementDecision ServingWorld::decide(Instance& instance, const PlacementAsk& ask)
{
    if (options_.policy == PlacementPolicy::Table)
        return instance.table.place(time_.now(), ask);
    std::vector<BackendServerId> candidates;
    for (const auto& id : instance.usable) {
        if (!ask.failedServers.contains(id))
            candidates.push_back(id);
    }
    if (candidates.empty())
        return PlaceNowhere { ResultCode::NoBackendServer, 1s, std::nullopt };
    if (options_.policy == PlacementPolicy::Random)
        return PlaceOnServer { candidates[pick(candidates.size())], {} };
    const auto saidLess = [&](const BackendServerId& left, const BackendServerId& right) { return instance.saidLoads[left] < instance.saidLoads[right]; };
    return PlaceOnServer { *std::min_element(candidates.begin(), candidates.end(), saidLess), {} };
}

void ServingWorld::choose(const AttemptPointer& life)
{
    auto& instance = *instances_[life->instance];
    auto ask = life->request->ask;
    ask.mayLeaveRegion = life->hops == HopsLeft::One;
    ask.failedServers = life->life.failedBackendServers();
    ask.failedRegions = life->failedRegions;
    ask.wasPlaced = life->life.attempts() > 0;
    const auto decision = decide(instance, ask);
    ++outcome_.attempts;
    if (const auto* server = std::get_if<PlaceOnServer>(&decision))
        return deliver(life, PlaceChosen { RunHere { server->server } });
    if (const auto* region = std::get_if<PlaceInRegion>(&decision)) {
        life->target = region->region;
        instance.table.noteSent(region->region, ask);
        ++outcome_.sentAbroad;
        return deliver(life, PlaceChosen { ForwardTo { InstanceId(region->region.value()) } });
    }
    const auto& nowhere = std::get<PlaceNowhere>(decision);
    life->retryAfter = nowhere.retryAfter;
    deliver(life, PlaceChosen { RefuseRequest { nowhere.code, nowhere.retryAfter } });
}

void ServingWorld::handOver(const AttemptPointer& life, AttemptId attempt)
{
    if (life->server.isEmpty())
        handToRegion(life, attempt);
    else
        handToServer(life, attempt, life->server);
}

void ServingWorld::handToRegion(const AttemptPointer& life, AttemptId attempt)
{
    std::vector<std::size_t> there;
    for (std::size_t index = 0; index < instances_.size(); ++index) {
        if (regionAt(instances_[index]->region) == life->target)
            there.push_back(index);
    }
    const auto receiver = makeLife(life->request, there[pick(there.size())], HopsLeft::None);
    receiver->origin = life;
    receiver->originAttempt = attempt;
    life->receiver = receiver;
    life->failedRegions.insert(life->target);
    time_.after(options_.regionDelay, [this, receiver] { deliver(receiver, HeadRead { ResultCode::Ok }); });
}

void ServingWorld::handToServer(const AttemptPointer& life, AttemptId attempt, const BackendServerId& id)
{
    auto& server = **std::find_if(servers_.begin(), servers_.end(), [&id](const auto& other) { return other->state.server.id == id; });
    const auto fails = [this, life, attempt](PlacementOutcome outcome, ResultCode code, Ran ran, RanProof proof) {
        time_.after(hopInRegion, [=, this] {
            endPlaced(life, outcome);
            deliver(life, AttemptFailed { attempt, code, ran, FailedPart::Target, proof });
        });
    };
    if (!server.isUp || !server.isListed)
        return fails(PlacementOutcome::Unreachable, ResultCode::BackendUnreachable, Ran::No, RanProof::None);
    EngineJob job;
    job.prompt = life->request->ask.prompt;
    job.promptTokens = life->request->ask.promptTokens;
    job.answerTokens = life->request->answerTokens;
    job.priority = life->request->ask.priority;
    const auto isCurrent = [life, attempt] { return life->placed && life->life.attempts() == attempt.count(); };
    const bool isAnswerSpoilt = chance(server.lostShare);
    const bool isAnswerLost = !isAnswerSpoilt && chance(server.lostShare);
    const bool isMutated = options_.mutation == ServingMutation::LostTakenForNotRun;
    job.onFirstToken = [=, this] {
        if (!isCurrent() || isAnswerLost)
            return;
        instances_[life->instance]->table.onFirstPart(time_.now(), *life->placed);
        deliver(life, AnswerBegan { attempt, ResumeSupport::Unsupported });
        deliver(life, PartArrived { attempt });
    };
    job.onEnd = [=, this, &server] {
        if (!isCurrent())
            return;
        life->job.reset();
        if (isAnswerSpoilt)
            return fails(PlacementOutcome::Failed, ResultCode::AnswerCut, Ran::Yes, RanProof::None);
        if (isAnswerLost)
            return fails(PlacementOutcome::Failed, ResultCode::OutcomeUnknown, isMutated ? Ran::No : Ran::Unknown, isMutated ? RanProof::Refusal : RanProof::None);
        auto& instance = *instances_[life->instance];
        instance.saidLoads[id] = server.engine->running() + server.engine->waiting();
        instance.table.onServerLoad(time_.now(), id, { server.engine->running(), server.engine->waiting(), options_.engine.slots });
        endPlaced(life, PlacementOutcome::Answered);
        deliver(life, AnswerEnded { attempt });
    };
    job.onLost = [=] {
        if (!isCurrent())
            return;
        life->job.reset();
        const bool hasBegun = life->request->firstPart.has_value();
        fails(PlacementOutcome::Failed, hasBegun ? ResultCode::AnswerCut : ResultCode::OutcomeUnknown, hasBegun ? Ran::Yes : Ran::Unknown, RanProof::None);
    };
    const auto taken = server.engine->arrive(std::move(job));
    if (!taken)
        return fails(PlacementOutcome::Full, ResultCode::BackendBusy, Ran::No, RanProof::Refusal);
    life->job = taken;
    noteRun(*life->request, server);
}

void ServingWorld::endPlaced(const AttemptPointer& life, PlacementOutcome outcome)
{
    if (life->placed)
        instances_[life->instance]->table.end(time_.now(), *std::exchange(life->placed, std::nullopt), outcome);
}

void ServingWorld::noteRun(Request& request, Server& server)
{
    ++request.runs;
    if (options_.kinds[request.kind].repeatability == Repeatability::NonIdempotent && request.runs > 1)
        fail(fmt::format("request {} ran {} times", request.id, request.runs));
    if (request.isDenied)
        fail(fmt::format("request {} ran after it was reported as not run", request.id));
    if (server.leavingSince && time_.now() > *server.leavingSince + drainTime)
        fail(fmt::format("server {} received a request after it left", server.state.server.id));
    if (options_.policy != PlacementPolicy::Table || time_.now() >= server.state.coldUntil)
        return;
    auto& arrivals = server.coldArrivals;
    arrivals.push_back(time_.now());
    while (arrivals.front() <= time_.now() - 1s)
        arrivals.pop_front();
    if (static_cast<double>(arrivals.size()) > coldRate * coldTolerance + coldSlack)
        fail(fmt::format("server {} received {} requests in one second while it was cold", server.state.server.id, arrivals.size()));
}

void ServingWorld::answerFirst(Request& request)
{
    if (!request.firstPart)
        request.firstPart = time_.now();
}

void ServingWorld::finish(const AttemptPointer& life, bool isWhole, ResultCode code, Ran ran)
{
    const auto request = life->request;
    if (life->origin) {
        life->origin->retryAfter = life->retryAfter;
        const AttemptFailed failure { life->originAttempt, code, ran };
        return time_.after(options_.regionDelay, [this, life, failure] { deliver(life->origin, failure); });
    }
    if (request->isOver)
        return;
    request->isOver = true;
    if (isWhole) {
        const auto target = request->firstAsked + options_.kinds[request->kind].target;
        return count(*request, *request->firstPart <= target ? &KindOutcome::onTime : &KindOutcome::late);
    }
    if (ran != Ran::No)
        return count(*request, &KindOutcome::failed);
    request->isDenied = true;
    if (request->runs > 0 && options_.kinds[request->kind].repeatability == Repeatability::NonIdempotent)
        fail(fmt::format("request {} ran but was reported as not run", request->id));
    const auto wait = life->retryAfter + std::chrono::duration_cast<Duration>(std::uniform_real_distribution<>(0, 0.1)(random_) * 1s);
    if (request->returns == 0 || time_.now() + wait >= request->ask.deadline)
        return count(*request, &KindOutcome::refused);
    // A caller that retries sends a new request.
    time_.after(wait, [this, request] {
        auto again = std::make_shared<Request>(*request);
        again->returns -= 1;
        again->runs = 0;
        again->isDenied = again->isOver = false;
        arrive(again);
    });
}

void ServingWorld::count(const Request& request, std::uint32_t KindOutcome::*field)
{
    const auto passed = static_cast<std::size_t>((request.firstAsked - start_) / window);
    ++(outcome_.kinds[request.kind].*field);
    ++(outcome_.regions[request.region].*field);
    ++(outcome_.windows[std::min(passed, outcome_.windows.size() - 1)].*field);
}

void ServingWorld::fail(const std::string& problem)
{
    const auto passed = std::chrono::duration_cast<std::chrono::milliseconds>(time_.now() - start_).count();
    if (outcome_.violation.empty())
        outcome_.violation = fmt::format("at {} ms: {}", passed, problem);
}

} // namespace Ibisturn::Model
