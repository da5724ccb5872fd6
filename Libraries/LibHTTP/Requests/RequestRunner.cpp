#include <LibHTTP/Requests/RequestRunner.h>

#include <LibCore/SteadyClock.h>
#include <LibDecision/Membership/EntryDirectory.h>
#include <LibDecision/Routing/HeadDecision.h>
#include <LibHTTP/Backends/OutstandingRequest.h>
#include <LibHTTP/Backends/RoutingStrategyRegistry.h>
#include <LibHTTP/Callers/CompletionScanner.h>
#include <LibHTTP/Operators/ScopedSpan.h>
#include <LibHTTP/Peers/ForwardedRequest.h>
#include <LibHTTP/Requests/DeadlineTimer.h>
#include <LibPeer/Hello.h>

#include <algorithm>
#include <utility>

namespace Ibisturn {

namespace {

/// The beginning of a body that requests with the same system prompt share.
constexpr std::size_t prefixBytes = 512;
constexpr Log runnerLog("request");
constexpr std::size_t bytesPerToken = 4;
/// Idle connections to each instance of another region, where a new one costs two round trips.
constexpr std::size_t warmConnections = 2;
// FIXME: Use the request's max_tokens.
constexpr std::int64_t assumedAnswerTokens = 256;

std::uint64_t hashOf(const GatewayRequest& request)
{
    return std::hash<std::string> {}(request.parent ? request.parent->spanId : request.body);
}

// Prefix caches of two workspaces never meet, so the workspace is part of the prefix.
std::uint64_t prefixHashOf(const GatewayRequest& request)
{
    const auto prefix = std::string_view(request.body).substr(0, prefixBytes);
    return rendezvousScore(request.workspace.value(), prefix);
}

TokenCount costOf(const GatewayRequest& request)
{
    return TokenCount(static_cast<std::int64_t>(request.body.size() / bytesPerToken) + assumedAnswerTokens);
}

MembershipPointer withResumingServersOnly(const MembershipView& view, const Snapshot& snapshot, const RouteId& route)
{
    auto resuming = std::make_shared<MembershipView>(view);
    for (const auto& id : snapshot.backendServersOf(route)) {
        const auto* server = snapshot.findBackendServer(id);
        if (!server || server->resume == ResumeSupport::Unsupported)
            resuming->leavingBackendServers.insert(id);
    }
    return resuming;
}

constexpr std::size_t frameOverhead = 64UL * 1024;

/// Throws the error that `actions` end a request with, if they do; `place` may say when it is worth coming back.
void throwIfFailed(const RequestActions& actions, const Place& place = RunHere {})
{
    const auto meaningOf = [](ResultCode code) { return std::string(resultCodeEntry(code).meaning); };
    for (const auto& action : actions) {
        if (const auto* refusal = std::get_if<AnswerWithError>(&action)) {
            Error error(refusal->code, refusal->ran, meaningOf(refusal->code));
            const auto* refused = std::get_if<RefuseRequest>(&place);
            if (refused && refused->retryAfter > Duration::zero() && refusal->ran == Ran::No)
                error.setRetryAfter(std::chrono::ceil<std::chrono::milliseconds>(refused->retryAfter));
            throw error;
        }
        if (const auto* cut = std::get_if<CutWithError>(&action))
            throw Error(cut->code, cut->ran, meaningOf(cut->code));
    }
}

bool isOfBackendServer(ResultCode code)
{
    return code == ResultCode::BackendUnreachable || code == ResultCode::BackendTimeout || code == ResultCode::OutcomeUnknown
        || code == ResultCode::AnswerCut;
}

/// What ended an attempt, and whether it was the link to a peer.
struct AttemptFailure {
    Error error;
    bool isOfLink { false };
    RanProof proof { RanProof::None };
};

PlacementOutcome outcomeOf(const GatewayRequest& request, const std::optional<AttemptFailure>& failure)
{
    if (!failure)
        return PlacementOutcome::Answered;
    if (request.cancellation->reason())
        return PlacementOutcome::Unknown;
    const auto code = failure->error.code();
    if (code == ResultCode::BackendUnreachable)
        return PlacementOutcome::Unreachable;
    if (code == ResultCode::BackendBusy)
        return PlacementOutcome::Full;
    if (code == ResultCode::BackendReplaced)
        return PlacementOutcome::Replaced;
    return code != ResultCode::BackendFailed && isOfBackendServer(code) ? PlacementOutcome::Failed : PlacementOutcome::Unknown;
}

PlacementAsk askOf(const GatewayRequest& request, const Snapshot& snapshot)
{
    const auto& routed = *request.routed;
    PlacementAsk ask;
    ask.service = routed.service;
    ask.priority = routed.priority;
    ask.prompt = routed.prompt;
    ask.promptTokens = routed.promptTokens;
    ask.mostAnswerTokens = routed.mostAnswerTokens;
    ask.target = routed.target;
    ask.deadline = request.deadline;
    ask.spread = std::hash<std::string> {}(routed.callerId);
    ask.homes = homesFor(snapshot, request.workspace, routed.route);
    return ask;
}

RequestEvent eventOf(const GatewayRequest& request, AttemptId attempt, const AttemptFailure& failure)
{
    if (request.cancellation->reason())
        return *request.cancellation->reason();
    const auto code = failure.error.code();
    if (code == ResultCode::CallerGone)
        return CallerLeft {};
    const bool isOfBackend = !failure.isOfLink && isOfBackendServer(code);
    return AttemptFailed { attempt, code, failure.error.ran(), isOfBackend ? FailedPart::BackendOfPeer : FailedPart::Target, failure.proof };
}

// The time to the first token tells how busy the backend server is; other ends tell nothing.
void noteEnd(AdmissionSlot& slot, TimePoint started, const AttemptSink& answer, const std::optional<AttemptFailure>& failure)
{
    if (failure && failure->error.code() == ResultCode::BackendTimeout)
        slot.noteEnd({}, ServiceSignal::Overloaded);
    else if (!failure && answer.firstPartAt())
        slot.noteEnd(*answer.firstPartAt() - started, ServiceSignal::Answered);
}

/// Tells the health board of an attempt, also after an exception.
class AttemptRecord {
public:
    AttemptRecord(HealthBoard& health, Place place)
        : health_(health)
        , place_(std::move(place))
    {
        health_.noteDispatch(place_);
    }

    ~AttemptRecord() { health_.noteEvidence(place_, evidence_, SteadyClock().now()); }
    AttemptRecord(const AttemptRecord&) = delete;
    AttemptRecord& operator=(const AttemptRecord&) = delete;

    void noteSuccess(const AttemptSink& sink) { evidence_ = sink.isServerLeaving() ? AttemptEvidence::Leaving : AttemptEvidence::Success; }

    void noteLinkFailure() { evidence_ = AttemptEvidence::Failure; }

    void noteFailure(const Error& failure)
    {
        const bool isForward = std::holds_alternative<ForwardTo>(place_);
        if (isForward && failure.code() == ResultCode::Draining)
            evidence_ = AttemptEvidence::Leaving;
        else if (isForward ? failure.code() == ResultCode::PeerUnreachable : isOfBackendServer(failure.code()))
            evidence_ = AttemptEvidence::Failure;
    }

    void noteNothing() { evidence_ = AttemptEvidence::Nothing; }

private:
    HealthBoard& health_;
    Place place_;
    AttemptEvidence evidence_ { AttemptEvidence::Nothing };
};

} // namespace

RequestRunner::RequestRunner(InstanceTables& tables, ClaimService& claims)
    : tables_(tables)
    , claims_(claims)
    , strategy_(RoutingStrategyRegistry::instance().require("routing strategy", tables.settings.routingStrategy))
    , backends_(
          { tables.settings.connectTimeout, tables.settings.requestTimeout }, *tables.backendDialect,
          [&tables](const BackendServerId& server, const ServerLoad& load) {
              tables.placement.with([&](PlacementTable& table) { table.onServerLoad(SteadyClock().now(), server, load); });
          })
    , peers_(helloOf(tables.settings.identity),
          { tables.settings.connectTimeout, tables.settings.requestTimeout, tables.settings.bodyLimit + ByteCount(frameOverhead) })
{
}

Task<void> RequestRunner::runFromCaller(GatewayRequest request, AnswerSink& sink)
{
    const auto snapshot = requireConfiguration();
    if (request.routed) {
        RouteId routed = request.routed->route;
        co_await run(std::move(request), std::move(routed), HopsLeft::One, ClaimDuty::Claim, sink);
        co_return;
    }
    const auto* route = findRouteFor(*snapshot, request.path(), ModelName());
    if (request.path().starts_with("/v1/")) {
        request.model = scanCompletion(request.body).model;
        route = findRouteFor(*snapshot, request.path(), request.model);
    }
    if (!route)
        throw Error(ResultCode::RouteNotFound, Ran::No, "No route serves this path and model");
    RouteId routeId = route->id;
    co_await run(std::move(request), std::move(routeId), HopsLeft::One, ClaimDuty::Claim, sink);
}

Task<void> RequestRunner::runFromPeer(ForwardMessage message, CancellationPointer cancellation, AnswerSink& sink)
{
    const auto snapshot = requireConfiguration();
    // The higher revision decides: behind the sender, this instance can't know the rules in force.
    if (message.routed.empty() && snapshot->revision() < Revision(message.revision))
        throw Error(ResultCode::ConfigurationBehind, Ran::No, "This instance's configuration is behind the sender's");
    RouteId routeId(message.route);
    const auto duty = message.asksOwner ? ClaimDuty::AnswerAsOwner : ClaimDuty::HeldBySender;
    GatewayRequest request = readForwarded(std::move(message), SteadyClock().now(), tables_.settings.requestTimeout);
    request.cancellation = std::move(cancellation);
    co_await run(std::move(request), std::move(routeId), HopsLeft::None, duty, sink);
}

Task<void> RequestRunner::run(GatewayRequest request, RouteId routeId, HopsLeft hops, ClaimDuty duty, AnswerSink& sink)
{
    if (!request.cancellation)
        request.cancellation = std::make_shared<Cancellation>();
    const auto snapshot = requireConfiguration();
    const auto* route = snapshot->findRoute(routeId);
    const bool isOnceOnly = route && route->repeatability == Repeatability::NonIdempotent;
    // Without an idempotency key no other attempt can be the same request.
    const bool needsClaim = isOnceOnly && !request.idempotencyKey.isEmpty() && duty != ClaimDuty::HeldBySender;
    if (!needsClaim) {
        co_await runPlaced(std::move(request), std::move(routeId), hops, sink);
        co_return;
    }
    if (!mayUseRoute(*route, request.workspace))
        throw Error(ResultCode::WorkspaceNotAllowed, Ran::No, "The route is not open to this workspace");
    if (!isPermittedRegion(*snapshot, request.workspace, tables_.settings.identity.region))
        throw Error(ResultCode::ResidencyRefused, Ran::No, "This instance lies outside the permitted regions");
    const auto scope = duty == ClaimDuty::Claim ? ClaimScope::MayClaim : ClaimScope::OwnClaimsOnly;
    co_await runClaimed(std::move(request), std::move(routeId), hops, scope, sink);
}

Task<void> RequestRunner::runClaimed(GatewayRequest request, RouteId routeId, HopsLeft hops, ClaimScope scope, AnswerSink& sink)
{
    ClaimedPaths paths;
    paths.run = [this, &request, &routeId, hops](AnswerSink& answer) { return runPlaced(request, routeId, hops, answer); };
    paths.askOwner = [this, &request, &routeId](InstanceId owner, AnswerSink& answer) { return askOwner(std::move(owner), request, routeId, answer); };
    co_await runUnderClaim(claims_, request, scope, std::move(paths), sink);
}

Task<void> RequestRunner::askOwner(InstanceId owner, GatewayRequest request, RouteId routeId, AnswerSink& sink)
{
    const auto snapshot = requireConfiguration();
    const auto membership = tables_.membership.get();
    const auto* member = membership ? membership->find(owner) : nullptr;
    if (!member || !isPermittedRegion(*snapshot, request.workspace, member->region))
        throw Error(ResultCode::PeerUnreachable, Ran::No, "The instance that claimed the key is not there");
    Member peer = *member;
    co_await forward(snapshot, std::move(peer), std::move(routeId), request, ClaimDuty::AnswerAsOwner, sink);
}

Task<void> RequestRunner::runPlaced(GatewayRequest request, RouteId routeId, HopsLeft hops, AnswerSink& sink)
{
    const auto executor = co_await Asio::this_coro::executor;
    const auto& here = tables_.settings.identity.region;
    const RequestAccess access { request.workspace, request.key };
    // A request on a route with terms ends as it began, whatever changes meanwhile.
    std::optional<AccessWatch::Subscription> watched;
    if (!request.routed)
        watched.emplace(access_, access, here, request.cancellation);
    const DeadlineTimer deadline(executor, request);
    const SteadyClock clock;
    const auto* route = requireConfiguration()->findRoute(routeId);
    const auto begun = clock.now();
    RequestLife life(termsOf(request, route, hops));
    AttemptSink answer(sink, life, request.resumeAfter, request.routed ? EventNumbering::Growing : EventNumbering::Consecutive);
    throwIfFailed(life.handle(HeadRead { accessOf(request, here) }, clock.now()));
    noteFirstAttempt(request, hops, answer);
    auto actions = life.handle(BodyTaken { route ? route->repeatability : Repeatability::NonIdempotent }, clock.now());
    throwIfFailed(actions);
    // A receiving instance is told that it is asked to resume; an origin learns it from the life.
    const auto asked = request.resumeAfter ? ResumeNeed::AfterLastEvent : ResumeNeed::None;
    bool isFirstAttempt = true;
    std::set<RegionId> failedRegions;
    RequestJournal journal(tables_, request);
    while (!life.hasEnded()) {
        const auto resume = std::max(asked, std::get<ChoosePlace>(actions.front()).resume);
        PlacementAsk ask;
        Place place = request.routed ? chooseRoutedPlace(request, hops, life, failedRegions, journal, ask) : choosePlace(request, routeId, hops, life, resume);
        // A retry has waited before, and the budget bounds retries.
        AdmissionSlotPointer slot;
        if (isFirstAttempt && !request.routed && std::holds_alternative<RunHere>(place))
            slot = co_await admit(request, routeId, life);
        isFirstAttempt = false;
        if (slot)
            place = RunHere { slot->server() };
        const auto started = clock.now();
        actions = life.handle(PlaceChosen { place }, clock.now());
        throwIfFailed(actions, place);
        const auto* dispatch = std::get_if<DispatchHere>(&actions.front());
        const auto attemptId = dispatch ? dispatch->attempt : std::get<ForwardToPeer>(actions.front()).attempt;
        if (resume == ResumeNeed::AfterLastEvent && answer.lastEvent())
            request.resumeAfter = answer.lastEvent();
        const auto ticket = makeTicket(request, place, ask);
        std::function<void(TimePoint)> onFirstPart;
        if (ticket)
            onFirstPart = [&ticket](TimePoint now) { ticket->noteFirstPart(now); };
        answer.beginAttempt(attemptId, hops == HopsLeft::One ? resume : ResumeNeed::None, std::move(onFirstPart));
        const auto target = regionOf(place);
        std::optional<AccessWatch::Subscription> watchedThere;
        if (!request.routed)
            watchedThere.emplace(access_, access, target, request.cancellation);
        request.handOver = [this, &request, &life, &target, attemptId] { askToHandOver(request, target, attemptId, life); };
        std::optional<AttemptFailure> failure;
        try {
            co_await attempt(place, routeId, request, life, answer);
        } catch (const PeerLinkError& error) {
            failure = AttemptFailure { error, true, RanProof::None };
        } catch (const NotRunError& error) {
            failure = AttemptFailure { error, false, RanProof::Refusal };
        } catch (const Error& error) {
            failure = AttemptFailure { error, false, RanProof::None };
        }
        if (ticket)
            ticket->noteEnd(outcomeOf(request, failure));
        if (slot)
            noteEnd(*slot, started, answer, failure);
        if (!failure) {
            journal.noteEnd(clock.now(), place, answer.firstPartAt());
            if (answer.firstPartAt())
                tables_.metrics.observe("ibisturn_first_part_seconds", *answer.firstPartAt() - begun);
            co_return;
        }
        runnerLog.debug("Attempt failed.", { { "code", static_cast<unsigned>(failure->error.code()) }, { "reason", failure->error.what() } });
        if (life.hasEnded())
            throw failure->error;
        if (std::holds_alternative<ForwardTo>(place))
            failedRegions.insert(target);
        actions = life.handle(eventOf(request, attemptId, *failure), clock.now());
        journal.noteFailure(clock.now(), place, failure->error, failure->proof, !life.hasEnded());
        tables_.metrics.increment(fmt::format("ibisturn_attempts_failed_total{{result=\"{}\"}}", resultCodeEntry(failure->error.code()).name));
        throwIfFailed(actions);
        tables_.metrics.increment("ibisturn_retries_total");
    }
}

Task<void> RequestRunner::attempt(Place place, RouteId route, GatewayRequest& request, RequestLife& life, AttemptSink& sink)
{
    const auto snapshot = requireConfiguration();
    AttemptRecord record(tables_.health, place);
    try {
        if (const auto* here = std::get_if<RunHere>(&place)) {
            const auto* known = snapshot->findRoute(route);
            const auto repeatability = known ? known->repeatability : Repeatability::NonIdempotent;
            co_await runHere(snapshot, here->backendServer, repeatability, request, sink);
        } else {
            const auto membership = tables_.membership.get();
            const auto* found = membership->find(std::get<ForwardTo>(place).instance);
            if (!found)
                throw Error(ResultCode::PeerUnreachable, Ran::No, "The instance has left");
            Member peer = *found;
            co_await forward(snapshot, std::move(peer), std::move(route), request, ClaimDuty::HeldBySender, sink);
        }
        record.noteSuccess(sink);
    } catch (const PeerLinkError&) {
        record.noteLinkFailure();
        if (request.cancellation->reason())
            record.noteNothing();
        throw;
    } catch (const Error& failure) {
        // What this side ended says nothing of the other.
        if (!life.hasEnded() && !request.cancellation->reason())
            record.noteFailure(failure);
        throw;
    }
}

Place RequestRunner::choosePlace(const GatewayRequest& request, const RouteId& routeId, HopsLeft hops, const RequestLife& life, ResumeNeed resume)
{
    const auto snapshot = requireConfiguration();
    const auto* route = snapshot->findRoute(routeId);
    if (!route)
        return RefuseRequest { ResultCode::RouteNotFound };
    if (!mayUseRoute(*route, request.workspace))
        return RefuseRequest { ResultCode::WorkspaceNotAllowed };
    auto membership = usableMembership(*snapshot, routeId, life);
    if (resume == ResumeNeed::AfterLastEvent)
        membership = withResumingServersOnly(*membership, *snapshot, routeId);
    const auto outstanding = [this](const BackendServerId& server) { return tables_.load.outstanding(server); };
    const PlaceQuery query { *snapshot, *membership, tables_.settings.identity, request.workspace, *route, hops, hashOf(request), outstanding };
    return decidePlace(query, *strategy_);
}

// Chooses among the region's backend servers and other regions.
Place RequestRunner::chooseRoutedPlace(
    const GatewayRequest& request, HopsLeft hops, const RequestLife& life, std::set<RegionId>& failedRegions, RequestJournal& journal, PlacementAsk& ask)
{
    const auto snapshot = requireConfiguration();
    ask = askOf(request, *snapshot);
    ask.mayLeaveRegion = hops == HopsLeft::One;
    ask.failedServers = life.failedBackendServers();
    ask.wasPlaced = life.attempts() > 0 || request.resumeAfter.has_value();
    ask.mayRepeat = life.failure() == ResultCode::BackendFailed;
    const auto membership = usableMembership(*snapshot, request.routed->route, life);
    for (;;) {
        ask.failedRegions = failedRegions;
        const auto now = SteadyClock().now();
        const auto decision = tables_.placement.with([&](PlacementTable& table) { return table.place(now, ask); });
        if (const auto* server = std::get_if<PlaceOnServer>(&decision)) {
            const RunHere place { server->server };
            journal.notePlace(now, place, server->expected, life.attempts() + 1);
            return place;
        }
        if (const auto* nowhere = std::get_if<PlaceNowhere>(&decision)) {
            // One that failed is better than none.
            if (!std::exchange(ask.failedServers, {}).empty())
                continue;
            journal.noteRefusal(now, *nowhere, ask);
            return RefuseRequest { nowhere->code, nowhere->retryAfter };
        }
        const auto& chosen = std::get<PlaceInRegion>(decision);
        const auto& region = chosen.region;
        if (const auto* member = findEntry(*membership, region, ask.spread)) {
            tables_.placement.with([&](PlacementTable& table) { table.noteSent(region, ask); });
            const ForwardTo place { member->id };
            journal.notePlace(now, place, chosen.expected, life.attempts() + 1);
            return place;
        }
        failedRegions.insert(region);
    }
}

void RequestRunner::keepPeersWarm(const Asio::any_io_executor& executor)
{
    const auto membership = tables_.membership.get();
    if (!membership)
        return;
    for (const auto& member : membership->instances) {
        if (member.region != tables_.settings.identity.region && member.state == MemberState::Live)
            Asio::co_spawn(executor, peers_.keepWarm(member, warmConnections), Asio::detached);
    }
}

RequestTerms RequestRunner::termsOf(const GatewayRequest& request, const Route* route, HopsLeft hops)
{
    RequestTerms terms;
    terms.hops = hops;
    terms.deadline = request.deadline;
    if (request.routed && route && route->terms)
        terms.mostRuns = route->terms->mostAttempts;
    if (request.routed)
        terms.takeRetry = [this, service = request.routed->service](TimePoint now) { return tables_.serviceRetries.takeRetry(service, now); };
    else
        terms.takeRetry = [this](TimePoint now) { return tables_.health.takeRetry(now); };
    return terms;
}

void RequestRunner::noteFirstAttempt(const GatewayRequest& request, HopsLeft hops, AttemptSink& answer)
{
    const auto now = SteadyClock().now();
    if (!request.routed) {
        tables_.health.noteRequest(now);
        return;
    }
    answer.repeatFailures();
    if (hops == HopsLeft::One)
        tables_.serviceRetries.noteRequest(request.routed->service, now);
}

RequestRunner::TicketPointer RequestRunner::makeTicket(const GatewayRequest& request, const Place& place, const PlacementAsk& ask)
{
    const auto* here = std::get_if<RunHere>(&place);
    if (!here || !request.routed)
        return nullptr;
    const auto id = tables_.placement.with([&](PlacementTable& table) { return table.begin(SteadyClock().now(), here->backendServer, ask); });
    return std::make_unique<PlacementBoard::Ticket>(tables_.placement, id);
}

MembershipPointer RequestRunner::usableMembership(const Snapshot& snapshot, const RouteId& routeId, const RequestLife& life) const
{
    static const auto noMembers = std::make_shared<const MembershipView>();
    const auto membership = tables_.membership.get();
    return tables_.health.withoutTroubled(membership ? membership : noMembers, snapshot, routeId, life, SteadyClock().now());
}

// Waits until the request may run on an engine of this data centre. Plain services have no batch to share.
Task<AdmissionSlotPointer> RequestRunner::admit(const GatewayRequest& request, RouteId routeId, const RequestLife& life)
{
    const auto snapshot = requireConfiguration();
    const auto* route = snapshot->findRoute(routeId);
    if (!route || route->kind != BackendKind::Engine)
        co_return nullptr;
    AdmissionAsk ask { std::move(routeId), request.workspace, costOf(request), request.deadline, { hashOf(request), prefixHashOf(request) } };
    auto membership = usableMembership(*snapshot, ask.route, life);
    co_return co_await tables_.admission.admit(std::move(ask), snapshot, std::move(membership), request.cancellation);
}

// Runs between the connection and the first byte written, so that nothing is handed over that may not be any more.
void RequestRunner::askToHandOver(const GatewayRequest& request, const RegionId& target, AttemptId attempt, RequestLife& life) const
{
    const auto now = SteadyClock().now();
    if (request.cancellation->reason())
        throwIfFailed(life.handle(*request.cancellation->reason(), now));
    const auto access = accessOf(request, tables_.settings.identity.region);
    const auto decided = access == ResultCode::Ok ? accessOf(request, target) : access;
    throwIfFailed(life.handle(HandOverAsked { attempt, decided }, now));
}

ResultCode RequestRunner::accessOf(const GatewayRequest& request, const RegionId& region) const
{
    // The head was decided on when it came; where the request may run is decided with its place.
    if (request.routed)
        return ResultCode::Ok;
    return decideAccess(*requireConfiguration(), region, { request.workspace, request.key });
}

// Where the request's data goes.
RegionId RequestRunner::regionOf(const Place& place) const
{
    const auto snapshot = requireConfiguration();
    const auto membership = tables_.membership.get();
    const auto* here = std::get_if<RunHere>(&place);
    const auto* server = here ? snapshot->findBackendServer(here->backendServer) : nullptr;
    if (server)
        return server->region;
    const auto* forward = std::get_if<ForwardTo>(&place);
    const auto* peer = forward && membership ? membership->find(forward->instance) : nullptr;
    return peer ? peer->region : tables_.settings.identity.region;
}

void RequestRunner::reviewAccess()
{
    access_.review(tables_.configuration.get());
}

Task<void> RequestRunner::runHere(SnapshotPointer snapshot, BackendServerId server, Repeatability repeatability, GatewayRequest& request, AnswerSink& sink)
{
    const OutstandingRequest outstanding(tables_.load, server);
    ScopedSpan hop(tables_.tracer, "backend", request.parent);
    hop.span().setAttribute("backend_server", server.value());
    request.parent = hop.span().context();
    const std::optional<BackendServer> record = findBackendServer(*snapshot, server, request);
    if (!record)
        throw Error(ResultCode::BackendUnreachable, Ran::No, "The backend server's record was withdrawn");
    co_await backends_.run(*record, request, repeatability, sink);
}

std::optional<BackendServer> RequestRunner::findBackendServer(const Snapshot& snapshot, const BackendServerId& id, const GatewayRequest& request)
{
    if (!request.routed) {
        const auto* record = snapshot.findBackendServer(id);
        return record ? std::optional(*record) : std::nullopt;
    }
    return tables_.placement.with([&](PlacementTable& table) -> std::optional<BackendServer> {
        const auto* state = table.findServer(id);
        if (!state)
            return std::nullopt;
        BackendServer server;
        server.id = id;
        server.endpoint = state->server.endpoint;
        server.region = state->server.region;
        server.dataCentre = state->server.dataCentre;
        server.resume = request.routed->resume;
        return server;
    });
}

Task<void> RequestRunner::forward(SnapshotPointer snapshot, Member peer, RouteId route, GatewayRequest& request, ClaimDuty duty, AnswerSink& sink)
{
    ScopedSpan hop(tables_.tracer, "forward", request.parent);
    hop.span().setAttribute("peer", peer.id.value());
    tables_.metrics.increment("ibisturn_requests_forwarded_total");
    ForwardMessage message;
    message.workspace = request.workspace.value();
    message.route = route.value();
    message.revision = snapshot->revision().count();
    message.method = request.method;
    message.target = request.target;
    message.contentType = request.contentType;
    message.idempotencyKey = request.idempotencyKey.value();
    message.traceparent = formatTraceparent(hop.span().context());
    const auto left = std::chrono::duration_cast<std::chrono::milliseconds>(request.deadline - SteadyClock().now());
    message.timeoutMilliseconds = left.count() > 0 ? static_cast<std::uint64_t>(left.count()) : 0;
    // The request may be tried again.
    message.body = request.body;
    message.keyDigest = request.key ? request.key->value() : std::string();
    message.asksOwner = duty == ClaimDuty::AnswerAsOwner;
    message.eventsReceived = request.resumeAfter ? *request.resumeAfter + 1 : 0;
    if (request.routed)
        message.routed.push_back(makeRoutedMessage(*request.routed, SteadyClock().now()));
    try {
        co_await peers_.run(peer, std::move(message), request, sink);
        tables_.peerReach.note(peer.id, Reach::Answered);
    } catch (const Error& error) {
        // What this side ended says nothing of the other.
        if (request.cancellation->reason())
            throw;
        const bool isSilent = error.code() == ResultCode::PeerUnreachable || dynamic_cast<const PeerLinkError*>(&error);
        tables_.peerReach.note(peer.id, isSilent ? Reach::Silent : Reach::Answered);
        throw;
    }
}

SnapshotPointer RequestRunner::requireConfiguration() const
{
    auto snapshot = tables_.configuration.get();
    if (!snapshot)
        throw Error(ResultCode::ConfigurationNotReady, Ran::No, "The instance has no configuration yet");
    return snapshot;
}

} // namespace Ibisturn
