#include <LibKernel/Asio.h>

#include "ServingSimulation.h"

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
constexpr Duration hopDelay = 300us;
constexpr Duration peerStatusPeriod = 100ms;
constexpr Duration outcomeWindow = 2s;
constexpr Duration coldPeriod = 3s;
constexpr double coldRate = 4.6;
/// A cold server may exceed the cold rate by this factor, plus this number of requests, as the service's specification allows.
constexpr double coldTolerance = 1.5;
constexpr double coldSlack = 3;
/// How long a leaving server keeps serving after the registry has published that it leaves.
constexpr Duration drainTime = 3s;
/// How long the entry of a crashed server remains registered.
constexpr Duration leaseLength = 3s;

std::vector<InstanceLoad> sumByServer(const std::vector<InstanceLoad>& loads)
{
    std::map<BackendServerId, InstanceLoad> sums;
    for (const auto& load : loads) {
        auto& sum = sums[load.server];
        sum.server = load.server;
        sum.requests += load.requests;
        sum.urgentBacklog += load.urgentBacklog;
        sum.backlog += load.backlog;
        sum.reservedTokens += load.reservedTokens;
    }
    std::vector<InstanceLoad> summed;
    summed.reserve(sums.size());
    for (const auto& [server, sum] : sums)
        summed.push_back(sum);
    return summed;
}

} // namespace

struct ServingSimulation::Server {
    BackendState state;
    std::size_t region { 0 };
    std::unique_ptr<EngineModel> engine;
    bool isUp { true };
    bool isRegistered { true };
    std::optional<TimePoint> leavingSince;
    double speed { 1 };
    std::uint32_t requests { 0 };
    double lostAnswerProbability { 0 };
    std::deque<TimePoint> coldArrivals;
};

struct ServingSimulation::Instance {
    Instance(InstanceId name, std::size_t regionIndex, const RegionId& ownRegion, const PlacementLimits& limits)
        : id(std::move(name))
        , region(regionIndex)
        , table(ownRegion, limits)
    {
    }
    InstanceId id;
    std::size_t region;
    PlacementTable table;
    RetryBudget budget;
    std::vector<BackendServerId> usable;
    std::map<BackendServerId, std::uint32_t> reportedLoads;
};

struct ServingSimulation::Request {
    std::uint64_t id { 0 };
    std::size_t kind { 0 };
    std::size_t region { 0 };
    PlacementQuery query;
    std::uint32_t answerTokens { 0 };
    TimePoint firstSentAt;
    std::uint32_t callerRetries { 0 };
    std::uint32_t runs { 0 };
    bool isReportedNotRun { false };
    bool isOver { false };
    std::optional<TimePoint> firstPart;
};

struct ServingSimulation::RequestHandler {
    RequestHandler(RequestPointer handledRequest, std::size_t instanceIndex, HopsLeft hops, RequestLimits limits)
        : request(std::move(handledRequest))
        , instance(instanceIndex)
        , hopsLeft(hops)
        , lifecycle(std::move(limits))
    {
    }
    RequestPointer request;
    std::size_t instance;
    HopsLeft hopsLeft;
    RequestLifecycle lifecycle;
    HandlerPointer origin;
    AttemptId originAttempt;
    HandlerPointer receiver;
    BackendServerId server;
    RegionId target;
    std::optional<PlacementId> placement;
    std::optional<EngineJobId> job;
    std::set<RegionId> failedRegions;
    Duration retryAfter {};
};

ServingSimulation::ServingSimulation(ServingOptions options, std::uint64_t seed)
    : options_(std::move(options))
    , random_(seed)
    , loadRandom_(seed)
    , start_(time_.now())
{
    outcome_.kinds.resize(options_.kinds.size());
    outcome_.regions.resize(options_.regions);
    outcome_.windows.resize(static_cast<std::size_t>(options_.length / outcomeWindow) + 1);
    for (std::size_t region = 0; region < options_.regions; ++region) {
        for (std::size_t index = 0; index < options_.serversPerRegion; ++index)
            addServer(region);
        for (std::size_t index = 0; index < options_.instancesPerRegion; ++index)
            instances_.push_back(std::make_unique<Instance>(InstanceId(fmt::format("i{}-{}", region, index)), region, regionAt(region), options_.limits));
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

ServingSimulation::~ServingSimulation() = default;

RegionId ServingSimulation::regionAt(std::size_t region) const
{
    return RegionId(fmt::format("r{}", region));
}

Snapshot ServingSimulation::snapshot() const
{
    Service engines;
    engines.id = service;
    engines.coldRate = coldRate;
    engines.coldPeriod = coldPeriod;
    engines.engine = EngineTraits { options_.engine.slots, options_.engine.memory, 1 };
    return { Revision(1), { { "services", service.value(), Revision(1), engines } } };
}

double ServingSimulation::randomSize(double mean)
{
    return std::max(1.0, std::exponential_distribution<>(1 / mean)(loadRandom_));
}

double ServingSimulation::rateFactor(std::size_t region) const
{
    const double share = std::chrono::duration<double>(time_.now() - start_) / std::chrono::duration<double>(options_.length);
    const double phase = share - static_cast<double>(region) / static_cast<double>(options_.regions);
    return 1 + (options_.peakFactor - 1) * std::max(0.0, std::cos(2 * std::numbers::pi * phase));
}

ServingOutcome ServingSimulation::run()
{
    publishRegistry();
    time_.runUntil(start_ + options_.registryDelay);
    start_ = time_.now();
    time_.every(peerStatusPeriod, [this] { exchangePeerStatus(); });
    if (options_.faults == ServingFaults::Servers)
        time_.every(peerStatusPeriod, [this] { injectFaults(); });
    for (std::size_t kind = 0; kind < options_.kinds.size(); ++kind) {
        for (std::size_t region = 0; region < options_.regions; ++region)
            scheduleArrival(kind, region);
    }
    Duration longest {};
    for (const auto& kind : options_.kinds)
        longest = std::max(longest, kind.timeout);
    time_.runUntil(start_ + options_.length + longest + 5s);
    double requests = 0;
    double speeds = 0;
    for (const auto& server : servers_) {
        outcome_.prefilledTokens += server->engine->prefilledTokens();
        outcome_.sharedPrefilledTokens += server->engine->sharedPrefilledTokens();
        requests += server->requests;
        speeds += server->speed;
    }
    for (const auto& server : servers_)
        outcome_.busiestOverMean = std::max(outcome_.busiestOverMean, server->requests / server->speed / (requests / speeds));
    return outcome_;
}

void ServingSimulation::addServer(std::size_t region)
{
    auto server = std::make_unique<Server>();
    server->region = region;
    server->engine = std::make_unique<EngineModel>(time_, options_.engine);
    server->speed = options_.speeds[servers_.size() % options_.speeds.size()];
    server->engine->setSlowness(1 / server->speed);
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
void ServingSimulation::publishRegistry()
{
    std::vector<BackendState> states;
    for (const auto& server : servers_) {
        if (!server->isRegistered || (server->leavingSince && options_.mutation != ServingMutation::HideLeaving))
            continue;
        states.push_back(server->state);
        if (options_.mutation == ServingMutation::HideColdStart)
            states.back().coldUntil = {};
    }
    time_.after(options_.registryDelay, [this, states] {
        const auto currentSnapshot = snapshot();
        for (const auto& instance : instances_) {
            instance->table.setServers(states, currentSnapshot);
            instance->usable.clear();
            for (const auto& state : states) {
                if (state.server.region == regionAt(instance->region))
                    instance->usable.push_back(state.server.id);
            }
        }
    });
}

void ServingSimulation::exchangePeerStatus()
{
    for (const auto& receiver : instances_) {
        std::vector<InstanceLoad> loads;
        for (const auto& sender : instances_) {
            if (sender == receiver || sender->region != receiver->region)
                continue;
            const auto own = sender->table.ownLoads();
            loads.insert(loads.end(), own.begin(), own.end());
        }
        time_.after(hopDelay, [this, &table = receiver->table, loads = sumByServer(loads)] { table.setOtherLoads(time_.now(), loads); });
    }
    for (const auto& sender : instances_) {
        const auto waitEstimates = sender->table.waitEstimates(time_.now());
        for (const auto& receiver : instances_) {
            auto& table = receiver->table;
            if (receiver->region != sender->region)
                time_.after(options_.regionDelay, [this, &table, from = regionAt(sender->region), waitEstimates] { table.onWaitEstimates(time_.now(), from, waitEstimates); });
        }
    }
}

void ServingSimulation::scheduleArrival(std::size_t kind, std::size_t region)
{
    const double rate = options_.kinds[kind].requestsPerSecond * rateFactor(region);
    const auto wait = std::chrono::duration_cast<Duration>(std::chrono::duration<double>(std::exponential_distribution<>(rate)(loadRandom_)));
    time_.after(wait, [this, kind, region] {
        if (time_.now() >= start_ + options_.length)
            return;
        const auto& traits = options_.kinds[kind];
        auto request = std::make_shared<Request>();
        request->kind = kind;
        request->region = region;
        request->firstSentAt = time_.now();
        request->callerRetries = traits.callerRetries;
        request->answerTokens = static_cast<std::uint32_t>(std::min(randomSize(traits.meanAnswerTokens), traits.maxAnswerTokens));
        const auto base = (kind + 1) << 32U;
        const auto session = randomLoadIndex(traits.sessions) * options_.regions + region;
        auto& query = request->query;
        query.service = service;
        query.priority = traits.priority;
        query.prompt = { { base + randomLoadIndex(traits.sharedParts), TokenCount(static_cast<std::int64_t>(traits.sharedTokens)) },
            { base + (1U << 20U) + session, TokenCount(static_cast<std::int64_t>(traits.sessionTokens)) } };
        query.promptTokens = TokenCount(static_cast<std::int64_t>(traits.sharedTokens + traits.sessionTokens + randomSize(traits.meanPromptTokens)));
        if (traits.hasOwnPart)
            query.prompt.push_back({ (1ULL << 60U) + ++lastPart_, query.promptTokens - query.prompt[0].tokens - query.prompt[1].tokens });
        query.maxAnswerTokens = TokenCount(request->answerTokens);
        query.target = time_.now() + traits.target;
        query.deadline = time_.now() + traits.timeout;
        count(*request, &KindOutcome::sent);
        sendRequest(request);
        scheduleArrival(kind, region);
    });
}

void ServingSimulation::sendRequest(const RequestPointer& request)
{
    request->id = ++lastRequest_;
    request->query.requestHash = random_();
    const auto instance = request->region * options_.instancesPerRegion + randomIndex(options_.instancesPerRegion);
    instances_[instance]->budget.recordRequest(time_.now());
    const auto handler = makeHandler(request, instance, HopsLeft::One);
    time_.after(request->query.deadline - time_.now(), [this, handler] {
        if (handler->request->isOver)
            return;
        handler->request->isOver = true;
        count(*handler->request, &KindOutcome::failed);
        deliver(handler, CallerDisconnected {});
    });
    deliver(handler, HeadRead { ResultCode::Ok });
}

void ServingSimulation::injectFaults()
{
    auto& server = *servers_[randomIndex(servers_.size())];
    const bool isHealthy = server.isUp && server.isRegistered && !server.leavingSince;
    if (isHealthy && chance(0.03)) {
        crash(server);
    } else if (isHealthy && chance(0.02)) {
        server.leavingSince = time_.now();
        addServer(server.region);
        publishRegistry();
        time_.after(drainTime + options_.registryDelay, [&server] { server.isRegistered = false; });
    } else if (isHealthy && chance(0.03)) {
        server.engine->setSlowness(4);
        time_.after(4s, [&server] { server.engine->setSlowness(1 / server.speed); });
    } else if (isHealthy && chance(0.03)) {
        server.lostAnswerProbability = 0.3;
        time_.after(4s, [&server] { server.lostAnswerProbability = 0; });
    }
}

void ServingSimulation::crash(Server& server)
{
    server.isUp = false;
    server.engine->crash();
    time_.after(leaseLength, [this, &server] {
        server.isRegistered = false;
        publishRegistry();
    });
    time_.after(leaseLength + 2s, [this, &server] {
        server.isUp = server.isRegistered = true;
        server.coldArrivals.clear();
        server.state.server.started = StartTime(server.state.server.started.count() + 1);
        server.state.coldUntil = time_.now() + coldPeriod;
        publishRegistry();
    });
}

ServingSimulation::HandlerPointer ServingSimulation::makeHandler(const RequestPointer& request, std::size_t instance, HopsLeft hopsLeft)
{
    RequestLimits limits { hopsLeft, request->query.deadline, [this, instance](TimePoint now) { return instances_[instance]->budget.takeRetry(now); } };
    return std::make_shared<RequestHandler>(request, instance, hopsLeft, std::move(limits));
}

void ServingSimulation::deliver(const HandlerPointer& handler, const RequestEvent& event)
{
    for (const auto& action : handler->lifecycle.handle(event, time_.now())) {
        if (!std::holds_alternative<RelayToCaller>(action) && !std::holds_alternative<EndAnswer>(action)) {
            perform(handler, action);
            continue;
        }
        const bool isEnd = std::holds_alternative<EndAnswer>(action);
        if (isEnd || std::holds_alternative<AnswerPartArrived>(event)) {
            if (!handler->origin) {
                if (isEnd)
                    finish(handler, true, ResultCode::Ok, Ran::Yes);
                else
                    recordFirstPart(*handler->request);
                continue;
            }
            time_.after(options_.regionDelay, [this, handler, isEnd] {
                if (isEnd)
                    return deliver(handler->origin, AnswerEnded { handler->originAttempt });
                deliver(handler->origin, AnswerBegan { handler->originAttempt, ResumeSupport::Unsupported });
                deliver(handler->origin, AnswerPartArrived { handler->originAttempt });
            });
        }
    }
}

void ServingSimulation::perform(const HandlerPointer& handler, const RequestAction& action)
{
    if (std::holds_alternative<ReadBody>(action))
        return deliver(handler, BodyRead { options_.kinds[handler->request->kind].repeatability });
    if (std::holds_alternative<ChoosePlace>(action))
        return choosePlacement(handler);
    if (const auto* dispatch = std::get_if<DispatchLocally>(&action)) {
        handler->server = dispatch->backendServer;
        handler->placement = instances_[handler->instance]->table.begin(time_.now(), handler->server, handler->request->query);
        return time_.after(hopDelay, [this, handler, attempt = dispatch->attempt] { deliver(handler, ConnectionReady { attempt, ResultCode::Ok }); });
    }
    if (const auto* forward = std::get_if<ForwardToPeer>(&action)) {
        handler->server = {};
        return deliver(handler, ConnectionReady { forward->attempt, ResultCode::Ok });
    }
    if (const auto* writing = std::get_if<WriteRequest>(&action))
        return writeRequest(handler, writing->attempt);
    if (std::holds_alternative<CancelAttempt>(action)) {
        for (const auto& server : servers_) {
            if (handler->job && server->state.server.id == handler->server)
                server->engine->cancel(*std::exchange(handler->job, std::nullopt));
        }
        endPlacement(handler, PlacementOutcome::Unknown);
        if (handler->receiver)
            time_.after(options_.regionDelay, [this, receiver = std::exchange(handler->receiver, nullptr)] { deliver(receiver, CallerDisconnected {}); });
        return;
    }
    if (const auto* refusal = std::get_if<AnswerWithError>(&action))
        return finish(handler, false, refusal->code, refusal->ran);
    if (const auto* truncation = std::get_if<TruncateWithError>(&action))
        finish(handler, false, truncation->code, truncation->ran);
}

PlacementDecision ServingSimulation::decide(Instance& instance, const PlacementQuery& query)
{
    if (options_.policy == PlacementPolicy::Table)
        return instance.table.place(time_.now(), query);
    std::vector<BackendServerId> candidates;
    for (const auto& id : instance.usable) {
        if (!query.failedServers.contains(id))
            candidates.push_back(id);
    }
    if (candidates.empty())
        return RefusePlacement { ResultCode::NoBackendServer, 1s, std::nullopt };
    if (options_.policy == PlacementPolicy::TwoChoices && candidates.size() > 1) {
        const auto first = randomIndex(candidates.size());
        const auto second = (first + 1 + randomIndex(candidates.size() - 1)) % candidates.size();
        candidates = { candidates[first], candidates[second] };
    }
    if (options_.policy == PlacementPolicy::Random)
        return PlaceOnServer { candidates[randomIndex(candidates.size())], {} };
    const auto hasLowerReportedLoad = [&](const BackendServerId& left, const BackendServerId& right) { return instance.reportedLoads[left] < instance.reportedLoads[right]; };
    return PlaceOnServer { *std::min_element(candidates.begin(), candidates.end(), hasLowerReportedLoad), {} };
}

void ServingSimulation::choosePlacement(const HandlerPointer& handler)
{
    auto& instance = *instances_[handler->instance];
    auto query = handler->request->query;
    query.canLeaveRegion = handler->hopsLeft == HopsLeft::One;
    query.failedServers = handler->lifecycle.failedBackendServers();
    query.failedRegions = handler->failedRegions;
    query.wasPlaced = handler->lifecycle.attempts() > 0;
    const auto decision = decide(instance, query);
    ++outcome_.attempts;
    if (const auto* server = std::get_if<PlaceOnServer>(&decision))
        return deliver(handler, PlaceChosen { RunHere { server->server } });
    if (const auto* region = std::get_if<PlaceInRegion>(&decision)) {
        handler->target = region->region;
        instance.table.recordForward(region->region, query);
        ++outcome_.sentToOtherRegions;
        return deliver(handler, PlaceChosen { ForwardTo { InstanceId(region->region.value()) } });
    }
    const auto& refusal = std::get<RefusePlacement>(decision);
    handler->retryAfter = refusal.retryAfter;
    deliver(handler, PlaceChosen { RefuseRequest { refusal.code, refusal.retryAfter } });
}

void ServingSimulation::writeRequest(const HandlerPointer& handler, AttemptId attempt)
{
    if (handler->server.isEmpty())
        sendToRegion(handler, attempt);
    else
        sendToServer(handler, attempt, handler->server);
}

void ServingSimulation::sendToRegion(const HandlerPointer& handler, AttemptId attempt)
{
    std::vector<std::size_t> candidates;
    for (std::size_t index = 0; index < instances_.size(); ++index) {
        if (regionAt(instances_[index]->region) == handler->target)
            candidates.push_back(index);
    }
    const auto receiver = makeHandler(handler->request, candidates[randomIndex(candidates.size())], HopsLeft::None);
    receiver->origin = handler;
    receiver->originAttempt = attempt;
    handler->receiver = receiver;
    handler->failedRegions.insert(handler->target);
    time_.after(options_.regionDelay, [this, receiver] { deliver(receiver, HeadRead { ResultCode::Ok }); });
}

void ServingSimulation::sendToServer(const HandlerPointer& handler, AttemptId attempt, const BackendServerId& id)
{
    auto& server = **std::find_if(servers_.begin(), servers_.end(), [&id](const auto& other) { return other->state.server.id == id; });
    const auto failAfterHop = [this, handler, attempt](PlacementOutcome outcome, ResultCode code, Ran ran, RanProof proof) {
        time_.after(hopDelay, [=, this] {
            endPlacement(handler, outcome);
            deliver(handler, AttemptFailed { attempt, code, ran, FailedPart::Target, proof });
        });
    };
    if (!server.isUp || !server.isRegistered)
        return failAfterHop(PlacementOutcome::Unreachable, ResultCode::BackendUnreachable, Ran::No, RanProof::None);
    EngineJob job;
    job.prompt = handler->request->query.prompt;
    job.promptTokens = handler->request->query.promptTokens;
    job.answerTokens = handler->request->answerTokens;
    job.priority = handler->request->query.priority;
    const auto isCurrent = [handler, attempt] { return handler->placement && handler->lifecycle.attempts() == attempt.count(); };
    const bool isAnswerTruncated = chance(server.lostAnswerProbability);
    const bool isAnswerLost = !isAnswerTruncated && chance(server.lostAnswerProbability);
    const bool isMutated = options_.mutation == ServingMutation::TreatLostAnswerAsNotRun;
    job.onFirstToken = [=, this] {
        if (!isCurrent() || isAnswerLost)
            return;
        instances_[handler->instance]->table.onFirstPart(time_.now(), *handler->placement);
        deliver(handler, AnswerBegan { attempt, ResumeSupport::Unsupported });
        deliver(handler, AnswerPartArrived { attempt });
    };
    job.onEnd = [=, this, &server] {
        if (!isCurrent())
            return;
        handler->job.reset();
        if (isAnswerTruncated)
            return failAfterHop(PlacementOutcome::Failed, ResultCode::AnswerCut, Ran::Yes, RanProof::None);
        if (isAnswerLost)
            return failAfterHop(PlacementOutcome::Failed, ResultCode::OutcomeUnknown, isMutated ? Ran::No : Ran::Unknown, isMutated ? RanProof::Refusal : RanProof::None);
        auto& instance = *instances_[handler->instance];
        instance.reportedLoads[id] = server.engine->running() + server.engine->waiting();
        instance.table.onServerLoad(time_.now(), id, { server.engine->running(), server.engine->waiting(), options_.engine.slots });
        endPlacement(handler, PlacementOutcome::Answered);
        deliver(handler, AnswerEnded { attempt });
    };
    job.onCrash = [=] {
        if (!isCurrent())
            return;
        handler->job.reset();
        const bool hasBegun = handler->request->firstPart.has_value();
        failAfterHop(PlacementOutcome::Failed, hasBegun ? ResultCode::AnswerCut : ResultCode::OutcomeUnknown, hasBegun ? Ran::Yes : Ran::Unknown, RanProof::None);
    };
    const auto jobId = server.engine->submit(std::move(job));
    if (!jobId)
        return failAfterHop(PlacementOutcome::Full, ResultCode::BackendBusy, Ran::No, RanProof::Refusal);
    handler->job = jobId;
    recordRun(*handler->request, server);
}

void ServingSimulation::endPlacement(const HandlerPointer& handler, PlacementOutcome outcome)
{
    if (handler->placement)
        instances_[handler->instance]->table.end(time_.now(), *std::exchange(handler->placement, std::nullopt), outcome);
}

void ServingSimulation::recordRun(Request& request, Server& server)
{
    ++request.runs;
    ++server.requests;
    if (options_.kinds[request.kind].repeatability == Repeatability::NonIdempotent && request.runs > 1)
        fail(fmt::format("request {} ran {} times", request.id, request.runs));
    if (request.isReportedNotRun)
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

void ServingSimulation::recordFirstPart(Request& request)
{
    if (!request.firstPart)
        request.firstPart = time_.now();
}

void ServingSimulation::finish(const HandlerPointer& handler, bool isComplete, ResultCode code, Ran ran)
{
    const auto request = handler->request;
    if (handler->origin) {
        handler->origin->retryAfter = handler->retryAfter;
        const AttemptFailed failure { handler->originAttempt, code, ran };
        return time_.after(options_.regionDelay, [this, handler, failure] { deliver(handler->origin, failure); });
    }
    if (request->isOver)
        return;
    request->isOver = true;
    if (isComplete) {
        const auto target = request->firstSentAt + options_.kinds[request->kind].target;
        return count(*request, *request->firstPart <= target ? &KindOutcome::onTime : &KindOutcome::late);
    }
    if (ran != Ran::No)
        return count(*request, &KindOutcome::failed);
    request->isReportedNotRun = true;
    if (request->runs > 0 && options_.kinds[request->kind].repeatability == Repeatability::NonIdempotent)
        fail(fmt::format("request {} ran but was reported as not run", request->id));
    const auto wait = handler->retryAfter + std::chrono::duration_cast<Duration>(std::uniform_real_distribution<>(0, 0.1)(random_) * 1s);
    if (request->callerRetries == 0 || time_.now() + wait >= request->query.deadline)
        return count(*request, &KindOutcome::refused);
    // A caller that retries sends a new request.
    time_.after(wait, [this, request] {
        auto retry = std::make_shared<Request>(*request);
        retry->callerRetries -= 1;
        retry->runs = 0;
        retry->isReportedNotRun = retry->isOver = false;
        sendRequest(retry);
    });
}

void ServingSimulation::count(const Request& request, std::uint32_t KindOutcome::*field)
{
    const auto elapsed = static_cast<std::size_t>((request.firstSentAt - start_) / outcomeWindow);
    ++(outcome_.kinds[request.kind].*field);
    ++(outcome_.regions[request.region].*field);
    ++(outcome_.windows[std::min(elapsed, outcome_.windows.size() - 1)].*field);
}

void ServingSimulation::fail(const std::string& problem)
{
    const auto elapsed = std::chrono::duration_cast<std::chrono::milliseconds>(time_.now() - start_).count();
    if (outcome_.violation.empty())
        outcome_.violation = fmt::format("at {} ms: {}", elapsed, problem);
}

} // namespace Ibisturn::Model
