#include <LibHTTP/Requests/RequestRunner.h>

#include <LibCore/SteadyClock.h>
#include <LibDecision/Membership/EntryDirectory.h>
#include <LibDecision/Routing/HeadDecision.h>
#include <LibHTTP/Backends/AnswerBoundError.h>
#include <LibHTTP/Backends/InvalidAnswerError.h>
#include <LibHTTP/Backends/OutstandingRequest.h>
#include <LibHTTP/Backends/RoutingStrategyRegistry.h>
#include <LibHTTP/Callers/CompletionScanner.h>
#include <LibHTTP/Operators/ScopedSpan.h>
#include <LibHTTP/Peers/ForwardedRequest.h>
#include <LibHTTP/Requests/DeadlineTimer.h>
#include <LibHTTP/Requests/StreamResumption.h>
#include <LibKernel/SpawnDetached.h>
#include <LibPeer/Hello.h>

#include <algorithm>
#include <utility>

#include <sys/resource.h>

namespace Ibisturn {

namespace {

/// Length of the start of the body, which requests with the same system prompt are assumed to share.
constexpr std::size_t prefixBytes = 512;
constexpr Log runnerLog("request", LineKind::Request);
constexpr Log serverLog("server");
constexpr std::size_t bytesPerToken = 4;
/// A backend server that crashes on a prompt does so when it begins to answer; what it had been answering for longer is harmless.
constexpr Duration beginningOfAnswer = std::chrono::milliseconds(500);
constexpr Duration quarantineRetryAfter = std::chrono::seconds(60);
/// Idle connections to each instance of another region that receives requests; a new connection there costs two round trips.
constexpr std::size_t warmConnections = 2;
// FIXME: Use the request's max_tokens.
constexpr std::int64_t assumedAnswerTokens = 256;

std::uint64_t hashOf(const GatewayRequest& request)
{
    return std::hash<std::string> {}(request.parent ? request.parent->spanId : request.body);
}

// Workspaces do not share prefix caches, so the workspace is part of the prefix.
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

/// Throws the error with which `actions` end the request, if they do. `place` may supply the retry delay.
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
        if (const auto* truncation = std::get_if<TruncateWithError>(&action))
            throw Error(truncation->code, truncation->ran, meaningOf(truncation->code));
    }
}

bool isBackendServerFailure(ResultCode code)
{
    return code == ResultCode::BackendUnreachable || code == ResultCode::BackendTimeout || code == ResultCode::OutcomeUnknown
        || code == ResultCode::AnswerCut;
}

/// What ended an attempt.
struct AttemptFailure {
    Error error;
    /// Whether the connection to a peer failed.
    bool isConnectionFailure { false };
    RanProof proof { RanProof::None };
    /// Whether the connection to the backend server was lost.
    bool isServerLost { false };
    /// Whether what came in place of an answer was no valid HTTP or exceeded a bound.
    bool isSpoiled { false };
};

PlacementOutcome outcomeOf(const GatewayRequest& request, const std::optional<AttemptFailure>& failure)
{
    if (!failure)
        return PlacementOutcome::Answered;
    if (request.cancellation->reason())
        return PlacementOutcome::Unknown;
    if (failure->isSpoiled)
        return PlacementOutcome::Spoiled;
    if (failure->isServerLost)
        return PlacementOutcome::Lost;
    const auto code = failure->error.code();
    if (code == ResultCode::BackendUnreachable)
        return PlacementOutcome::Unreachable;
    if (code == ResultCode::BackendBusy)
        return PlacementOutcome::Full;
    if (code == ResultCode::BackendReplaced)
        return PlacementOutcome::Replaced;
    return code != ResultCode::BackendFailed && isBackendServerFailure(code) ? PlacementOutcome::Failed : PlacementOutcome::Unknown;
}

PlacementQuery placementQueryOf(const GatewayRequest& request)
{
    const auto& routed = *request.routed;
    PlacementQuery query;
    query.service = routed.service;
    query.priority = routed.priority;
    query.prompt = routed.prompt;
    query.promptTokens = routed.promptTokens;
    query.maxAnswerTokens = routed.maxAnswerTokens;
    query.target = routed.target;
    query.deadline = request.deadline;
    query.requestHash = std::hash<std::string> {}(routed.callerId);
    query.homeRegions = routed.homeRegions;
    query.version = routed.requiredVersion;
    query.beginsStream = routed.resume == ResumeSupport::Supported && !routed.requiredVersion;
    return query;
}

RequestEvent eventOf(const GatewayRequest& request, AttemptId attempt, const AttemptFailure& failure)
{
    if (request.cancellation->reason())
        return *request.cancellation->reason();
    const auto code = failure.error.code();
    if (code == ResultCode::CallerGone)
        return CallerDisconnected {};
    const bool isBackendFailure = !failure.isConnectionFailure && isBackendServerFailure(code);
    return AttemptFailed { attempt, code, failure.error.ran(), isBackendFailure ? FailedPart::BackendOfPeer : FailedPart::Target, failure.proof };
}

// Records what the head of an answer says about the backend server.
void recordServerState(InstanceTables& tables, const BackendServerId& server, const AnswerHeadInfo& headInfo)
{
    const auto now = SteadyClock().now();
    if (headInfo.load)
        tables.placement.with([&](PlacementTable& table) { table.onServerLoad(now, server, *headInfo.load); });
    if (headInfo.isServerLeaving && tables.placement.with([&](PlacementTable& table) { return table.onServerLeaving(now, server); }))
        serverLog.info("Backend server announces that it is leaving.", { { "server", server } });
    if (!headInfo.retryAfter)
        return;
    tables.placement.with([&](PlacementTable& table) { table.onRetryAfter(now, server, *headInfo.retryAfter); });
    serverLog.info("Backend server asks for a pause.", { { "server", server }, { "retry_after_ms", std::chrono::duration_cast<std::chrono::milliseconds>(*headInfo.retryAfter).count() } });
}

// Counts which backend servers the requests of sessions go to, and what is assumed of the prompt parts there.
void countSessionPlace(Metrics& metrics, const PlacementQuery& query, const PlaceOnServer& place)
{
    if (!PromptAffinity::sessionOf(query.prompt))
        return;
    const auto* rank = !place.sessionRank ? "none" : *place.sessionRank == 0 ? "first"
                                                                             : "next";
    metrics.increment(fmt::format("ibisturn_session_places_total{{rank=\"{}\"}}", rank));
    metrics.increment("ibisturn_assumed_cached_tokens_total", static_cast<std::uint64_t>(place.assumedTokens.count()));
}

// Only the time to the first token and timeouts indicate the load of the backend server; other outcomes do not.
void recordEnd(AdmissionSlot& slot, TimePoint started, const AttemptSink& answer, const std::optional<AttemptFailure>& failure)
{
    if (failure && failure->error.code() == ResultCode::BackendTimeout)
        slot.recordEnd({}, ServiceSignal::Overloaded);
    else if (!failure && answer.firstPartAt())
        slot.recordEnd(*answer.firstPartAt() - started, ServiceSignal::Answered);
}

/// Records an attempt and its result in the health table, also if an exception ends it.
class AttemptRecord {
public:
    AttemptRecord(SharedHealthTable& health, Place place)
        : health_(health)
        , place_(std::move(place))
    {
        health_.recordDispatch(place_);
    }

    ~AttemptRecord() { health_.recordEvidence(place_, evidence_, SteadyClock().now()); }
    AttemptRecord(const AttemptRecord&) = delete;
    AttemptRecord& operator=(const AttemptRecord&) = delete;

    void recordSuccess(const AttemptSink& sink) { evidence_ = sink.isServerDraining() ? AttemptEvidence::Leaving : AttemptEvidence::Success; }

    void recordConnectionFailure() { evidence_ = AttemptEvidence::Failure; }

    void recordFailure(const Error& failure)
    {
        const bool isForward = std::holds_alternative<ForwardTo>(place_);
        if (isForward && failure.code() == ResultCode::Draining)
            evidence_ = AttemptEvidence::Leaving;
        else if (isForward ? failure.code() == ResultCode::PeerUnreachable : isBackendServerFailure(failure.code()))
            evidence_ = AttemptEvidence::Failure;
    }

    void recordNothing() { evidence_ = AttemptEvidence::Nothing; }

private:
    SharedHealthTable& health_;
    Place place_;
    AttemptEvidence evidence_ { AttemptEvidence::Nothing };
};

} // namespace

RequestRunner::RequestRunner(InstanceTables& tables, ClaimService& claims)
    : tables_(tables)
    , claims_(claims)
    , strategy_(RoutingStrategyRegistry::instance().require("routing strategy", tables.settings.routingStrategy))
    , backends_(
          { tables.settings.connectTimeout, tables.settings.requestTimeout, connectionBudgetOf(tables.settings).idleServerConnections() }, *tables.backendDialect,
          [&tables](const BackendServerId& server, const AnswerHeadInfo& headInfo) { recordServerState(tables, server, headInfo); },
          [&tables](const Endpoint& endpoint) { tables.placement.with([&](PlacementTable& table) { table.onConnectionLost(SteadyClock().now(), endpoint); }); })
    , peers_(makeHelloMessage(tables.settings.identity),
          { tables.settings.connectTimeout, tables.settings.requestTimeout, tables.settings.bodyLimit + ByteCount(frameOverhead) },
          [&tables](const RegionId& region, Duration roundTrip) {
              tables.placement.with([&](PlacementTable& table) { table.onRoundTrip(SteadyClock().now(), region, roundTrip); });
          })
    , callerConnections_(connectionBudgetOf(tables.settings), tables.metrics)
    , heldAnswers_(tables.metrics)
{
}

Task<void> RequestRunner::runFromCaller(GatewayRequest request, AnswerSink& sink)
{
    const auto snapshot = requireConfiguration();
    if (request.routed) {
        RouteId routed = request.routed->route;
        if (isStreamResumption(request))
            co_await findStreamOrigin(snapshot, request);
        co_await run(std::move(request), std::move(routed), HopsLeft::One, ClaimRole::Claim, sink);
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
    co_await run(std::move(request), std::move(routeId), HopsLeft::One, ClaimRole::Claim, sink);
}

Task<void> RequestRunner::runFromPeer(ForwardMessage message, CancellationPointer cancellation, AnswerSink& sink)
{
    const auto snapshot = requireConfiguration();
    // The higher revision applies: with an older configuration than the sender's, this instance can't know the current rules.
    if (message.routed.empty() && snapshot->revision() < Revision(message.revision))
        throw Error(ResultCode::ConfigurationBehind, Ran::No, "This instance's configuration is behind the sender's");
    RouteId routeId(message.route);
    // Otherwise a route or workspace that this instance's configuration does not have would permit every region.
    const bool areRulesKnown = snapshot->findRoute(routeId) && (message.workspace.empty() || snapshot->findWorkspace(WorkspaceId(message.workspace)));
    if (!message.routed.empty() && !message.routed.front().tellsHomeRegions && !areRulesKnown)
        throw Error(ResultCode::ResidencyRefused, Ran::No, "The home regions of the forwarded request are not known here");
    const auto role = message.asksOwner ? ClaimRole::AnswerAsOwner : ClaimRole::HeldBySender;
    GatewayRequest request = readForwarded(std::move(message), SteadyClock().now(), tables_.settings.requestTimeout);
    request.cancellation = std::move(cancellation);
    requireStreamVersion(request);
    co_await run(std::move(request), std::move(routeId), HopsLeft::None, role, sink);
}

// A request that waits for the origin of its stream is cancelled as others are.
Task<void> RequestRunner::findStreamOrigin(SnapshotPointer snapshot, GatewayRequest& request)
{
    if (!request.cancellation)
        request.cancellation = std::make_shared<Cancellation>();
    const AccessWatch::Subscription watched(access_, std::nullopt, tables_.settings.identity.region, request.cancellation);
    co_await bindToStreamOrigin(tables_, std::move(snapshot), request);
}

Task<void> RequestRunner::run(GatewayRequest request, RouteId routeId, HopsLeft hops, ClaimRole role, AnswerSink& sink)
{
    if (!request.cancellation)
        request.cancellation = std::make_shared<Cancellation>();
    const auto snapshot = requireConfiguration();
    const auto* route = snapshot->findRoute(routeId);
    const bool mustRunOnce = route && route->repeatability == Repeatability::NonIdempotent;
    // Without an idempotency key, no other attempt can be identified as the same request.
    const bool needsClaim = mustRunOnce && !request.idempotencyKey.isEmpty() && role != ClaimRole::HeldBySender;
    if (!needsClaim) {
        co_await runPlaced(std::move(request), std::move(routeId), hops, sink);
        co_return;
    }
    if (!canUseRoute(*route, request.workspace))
        throw Error(ResultCode::WorkspaceNotAllowed, Ran::No, "The route is not open to this workspace");
    if (!isPermittedRegion(*snapshot, request.workspace, tables_.settings.identity.region))
        throw Error(ResultCode::ResidencyRefused, Ran::No, "This instance lies outside the permitted regions");
    const auto scope = role == ClaimRole::Claim ? ClaimScope::ClaimIfUnclaimed : ClaimScope::OwnClaimsOnly;
    co_await runClaimed(std::move(request), std::move(routeId), hops, scope, sink);
}

Task<void> RequestRunner::runClaimed(GatewayRequest request, RouteId routeId, HopsLeft hops, ClaimScope scope, AnswerSink& sink)
{
    ClaimedRequestHandlers handlers;
    handlers.run = [this, &request, &routeId, hops](AnswerSink& answer) { return runPlaced(request, routeId, hops, answer); };
    handlers.forwardToOwner = [this, &request, &routeId](InstanceId owner, AnswerSink& answer) { return forwardToOwner(std::move(owner), request, routeId, answer); };
    co_await runUnderClaim(claims_, request, scope, std::move(handlers), sink);
}

Task<void> RequestRunner::forwardToOwner(InstanceId owner, GatewayRequest request, RouteId routeId, AnswerSink& sink)
{
    const auto snapshot = requireConfiguration();
    const auto membership = tables_.membership.get();
    const auto* member = membership ? membership->find(owner) : nullptr;
    if (!member || !isPermittedRegion(*snapshot, request.workspace, member->region))
        throw Error(ResultCode::PeerUnreachable, Ran::No, "The instance that claimed the key is not a member or lies outside the permitted regions");
    Member peer = *member;
    co_await forward(snapshot, std::move(peer), std::move(routeId), request, ClaimRole::AnswerAsOwner, sink);
}

Task<void> RequestRunner::runPlaced(GatewayRequest request, RouteId routeId, HopsLeft hops, AnswerSink& sink)
{
    const auto executor = co_await Asio::this_coro::executor;
    const auto& here = tables_.settings.identity.region;
    // A request on a route with a policy is not cancelled by configuration changes while it runs.
    const auto access = request.routed ? std::nullopt : std::optional(RequestAccess { request.workspace, request.key });
    const AccessWatch::Subscription watched(access_, access, here, request.cancellation);
    const DeadlineTimer deadline(executor, request);
    const SteadyClock clock;
    const auto* route = requireConfiguration()->findRoute(routeId);
    const auto requestStarted = clock.now();
    RequestLifecycle lifecycle(requestLimitsOf(request, route, hops));
    AttemptSink answer(sink, lifecycle, request.resumeAfter, request.routed ? EventNumbering::Increasing : EventNumbering::Consecutive);
    auto stream = streamBindingOf(request);
    bindStream(request, hops, stream, answer);
    throwIfFailed(lifecycle.handle(HeadRead { accessOf(request, here) }, clock.now()));
    recordFirstAttempt(request, hops, answer);
    auto actions = lifecycle.handle(BodyRead { route ? route->repeatability : Repeatability::NonIdempotent }, clock.now());
    throwIfFailed(actions);
    // On a receiving instance the message says whether to resume; on the origin the request's lifecycle decides.
    const auto requestedResume = request.resumeAfter ? ResumeNeed::AfterLastEvent : ResumeNeed::None;
    bool isFirstAttempt = true;
    std::set<RegionId> failedRegions;
    RequestLog requestLog(tables_, request);
    while (!lifecycle.hasEnded()) {
        const auto resume = std::max(requestedResume, std::get<ChoosePlace>(actions.front()).resume);
        if (request.routed)
            request.routed->requiredVersion = stream.requiredVersion();
        PlacementQuery query;
        RoutedPlace chosen = request.routed ? chooseRoutedPlace(request, hops, lifecycle, failedRegions, requestLog, query)
                                            : RoutedPlace { choosePlace(request, routeId, hops, lifecycle, resume), std::nullopt };
        auto& place = chosen.place;
        const auto& serverVersion = chosen.version;
        // A retry is not queued again: its first attempt has waited, and the retry budget limits retries.
        AdmissionSlotPointer slot;
        if (isFirstAttempt && !request.routed && std::holds_alternative<RunHere>(place))
            slot = co_await admit(request, routeId, lifecycle);
        isFirstAttempt = false;
        if (slot)
            place = RunHere { slot->server() };
        const auto started = clock.now();
        actions = lifecycle.handle(PlaceChosen { place }, clock.now());
        throwIfFailed(actions, place);
        const auto* dispatch = std::get_if<DispatchLocally>(&actions.front());
        const auto attemptId = dispatch ? dispatch->attempt : std::get<ForwardToPeer>(actions.front()).attempt;
        if (resume == ResumeNeed::AfterLastEvent && answer.lastEvent())
            request.resumeAfter = answer.lastEvent();
        const auto ticket = makeTicket(request, place, query);
        std::function<void(TimePoint)> onFirstPart;
        if (ticket)
            onFirstPart = [&ticket](TimePoint now) { ticket->onFirstPart(now); };
        answer.beginAttempt(attemptId, hops == HopsLeft::One ? resume : ResumeNeed::None, std::move(onFirstPart));
        answer.setServerVersion(std::holds_alternative<RunHere>(place) ? std::optional(serverVersion.value_or(SoftwareVersion())) : std::nullopt);
        const auto target = regionOf(place);
        std::optional<AccessWatch::Subscription> watchedInTarget;
        if (!request.routed)
            watchedInTarget.emplace(access_, access, target, request.cancellation);
        request.beforeSend = [this, &request, &lifecycle, &target, &place, &serverVersion, attemptId](const std::optional<ServerProcess>& process) {
            requireHomeRegion(request, target);
            requireUsableServer(request, place, process, serverVersion);
            checkBeforeSend(request, target, attemptId, lifecycle);
        };
        std::optional<AttemptFailure> failure;
        try {
            co_await attempt(place, routeId, request, lifecycle, answer);
        } catch (const PeerConnectionError& error) {
            failure = AttemptFailure { error, true, RanProof::None };
        } catch (const NotRunError& error) {
            failure = AttemptFailure { error, false, RanProof::Refusal };
        } catch (const AnswerBoundError& error) {
            requestLog.logBoundExceeded(place, error);
            tables_.metrics.increment("ibisturn_answers_over_bound_total");
            failure = AttemptFailure { error, false, RanProof::None, false, true };
        } catch (const InvalidAnswerError& error) {
            tables_.metrics.increment("ibisturn_answers_invalid_total");
            failure = AttemptFailure { error, false, RanProof::None, false, true };
        } catch (const ConnectionLostError& error) {
            failure = AttemptFailure { error, false, RanProof::None, true };
        } catch (const Error& error) {
            failure = AttemptFailure { error, false, RanProof::None };
        }
        if (ticket)
            ticket->recordEnd(outcomeOf(request, failure));
        if (slot)
            recordEnd(*slot, started, answer, failure);
        if (!request.cancellation->reason())
            recordCrashEvidence(place, query, answer, !failure ? AttemptEnd::Answered : failure->isServerLost ? AttemptEnd::ServerLost
                                                                                                              : AttemptEnd::Other);
        if (!failure) {
            requestLog.logEnd(clock.now(), place, answer.firstPartAt());
            if (answer.firstPartAt())
                tables_.metrics.observe("ibisturn_first_part_seconds", *answer.firstPartAt() - requestStarted);
            co_return;
        }
        runnerLog.debug("Attempt failed.", { { "code", static_cast<unsigned>(failure->error.code()) }, { "reason", failure->error.what() } });
        if (lifecycle.hasEnded())
            throw failure->error;
        if (std::holds_alternative<ForwardTo>(place))
            failedRegions.insert(target);
        actions = lifecycle.handle(eventOf(request, attemptId, *failure), clock.now());
        requestLog.logFailure(clock.now(), place, failure->error, failure->proof, !lifecycle.hasEnded());
        tables_.metrics.increment(fmt::format("ibisturn_attempts_failed_total{{result=\"{}\"}}", resultCodeEntry(failure->error.code()).name));
        throwIfFailed(actions);
        tables_.metrics.increment("ibisturn_retries_total");
    }
}

Task<void> RequestRunner::attempt(Place place, RouteId route, GatewayRequest& request, RequestLifecycle& lifecycle, AttemptSink& sink)
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
                throw Error(ResultCode::PeerUnreachable, Ran::No, "The instance is no longer a member");
            Member peer = *found;
            co_await forward(snapshot, std::move(peer), std::move(route), request, ClaimRole::HeldBySender, sink);
        }
        record.recordSuccess(sink);
    } catch (const PeerConnectionError&) {
        record.recordConnectionFailure();
        if (request.cancellation->reason())
            record.recordNothing();
        throw;
    } catch (const Error& failure) {
        // A failure caused by this side is no evidence about the target.
        if (!lifecycle.hasEnded() && !request.cancellation->reason())
            record.recordFailure(failure);
        throw;
    }
}

Place RequestRunner::choosePlace(const GatewayRequest& request, const RouteId& routeId, HopsLeft hops, const RequestLifecycle& lifecycle, ResumeNeed resume)
{
    const auto snapshot = requireConfiguration();
    const auto* route = snapshot->findRoute(routeId);
    if (!route)
        return RefuseRequest { ResultCode::RouteNotFound };
    if (!canUseRoute(*route, request.workspace))
        return RefuseRequest { ResultCode::WorkspaceNotAllowed };
    auto membership = usableMembership(*snapshot, routeId, lifecycle);
    if (resume == ResumeNeed::AfterLastEvent)
        membership = withResumingServersOnly(*membership, *snapshot, routeId);
    const auto outstanding = [this](const BackendServerId& server) { return tables_.load.outstanding(server); };
    const PlaceQuery query { *snapshot, *membership, tables_.settings.identity, request.workspace, *route, hops, hashOf(request), outstanding };
    return decidePlace(query, *strategy_);
}

// Chooses among the backend servers of this region and the other regions.
RequestRunner::RoutedPlace RequestRunner::chooseRoutedPlace(
    GatewayRequest& request, HopsLeft hops, const RequestLifecycle& lifecycle, std::set<RegionId>& failedRegions, RequestLog& requestLog, PlacementQuery& query)
{
    const auto snapshot = requireConfiguration();
    request.routed->homeRegions = homeRegionsInForce(*snapshot, request.workspace, request.routed->route, request.routed->homeRegions);
    requestLog.setRules(SteadyClock().now(), request.routed->homeRegions, snapshot->revision());
    query = placementQueryOf(request);
    query.canLeaveRegion = hops == HopsLeft::One;
    query.failedServers = lifecycle.failedBackendServers();
    query.wasPlaced = lifecycle.attempts() > 0 || request.resumeAfter.has_value();
    query.canRetryFailedServers = lifecycle.failure() == ResultCode::BackendFailed;
    if (const auto part = tables_.quarantine.findQuarantined(SteadyClock().now(), query)) {
        requestLog.logQuarantine(SteadyClock().now(), *part);
        return { RefuseRequest { ResultCode::PromptQuarantined, quarantineRetryAfter }, std::nullopt };
    }
    if (lifecycle.attempts() > 0 && !tables_.quarantine.mayRetry(query))
        return { RefuseRequest { ResultCode::PromptQuarantined, quarantineRetryAfter }, std::nullopt };
    const auto membership = usableMembership(*snapshot, request.routed->route, lifecycle);
    for (;;) {
        query.failedRegions = failedRegions;
        const auto now = SteadyClock().now();
        const auto decision = tables_.placement.with([&](PlacementTable& table) { return table.place(now, query); });
        if (const auto* server = std::get_if<PlaceOnServer>(&decision)) {
            const RunHere place { server->server };
            requestLog.logPlace(now, place, server->expected, lifecycle.attempts() + 1, server->coldLeft, { server->sessionRank, server->assumedTokens });
            countSessionPlace(tables_.metrics, query, *server);
            if (server->isTrial)
                tables_.metrics.increment("ibisturn_server_trials_total");
            if (server->coldLeft > Duration::zero())
                tables_.metrics.increment("ibisturn_cold_server_requests_total");
            return { place, request.routed->resume == ResumeSupport::Supported ? std::optional(server->version) : std::nullopt };
        }
        if (const auto* refusal = std::get_if<RefusePlacement>(&decision)) {
            // If no other backend server is available, allow those that failed this request.
            if (!std::exchange(query.failedServers, {}).empty())
                continue;
            requestLog.logRefusal(now, *refusal);
            if (refusal->code == ResultCode::StreamVersionGone)
                tables_.metrics.increment(fmt::format("ibisturn_stream_resumptions_refused_total{{result=\"{}\"}}", resultCodeEntry(refusal->code).name));
            if (refusal->code == ResultCode::DeadlineUnreachable && !refusal->isReserved)
                tables_.metrics.increment("ibisturn_retries_not_reserved_total");
            return { RefuseRequest { refusal->code, refusal->retryAfter }, std::nullopt };
        }
        const auto& chosen = std::get<PlaceInRegion>(decision);
        const auto& region = chosen.region;
        if (const auto* member = findForwardingEntry(*membership, tables_.settings.identity.instance, region, query.requestHash)) {
            tables_.placement.with([&](PlacementTable& table) { table.recordForward(region, query); });
            const ForwardTo place { member->id };
            requestLog.logPlace(now, place, chosen.expected, lifecycle.attempts() + 1);
            return { place, std::nullopt };
        }
        failedRegions.insert(region);
    }
}

void RequestRunner::sweepIdleConnections(TimePoint now)
{
    callerConnections_.report();
    heldAnswers_.report(now);
    const auto snapshot = tables_.configuration.get();
    if (!snapshot)
        return;
    // Routes with a policy find their backend servers in the registry, others name them in the configuration.
    auto used = tables_.placement.with([](PlacementTable& table) { return table.endpoints(); });
    for (const auto& route : snapshot->routes()) {
        for (const auto& id : snapshot->backendServersOf(route.id)) {
            if (const auto* server = snapshot->findBackendServer(id))
                used.insert(server->endpoint);
        }
    }
    backends_.sweepIdle(now, [&used](const Endpoint& endpoint) { return used.contains(endpoint); });
    if (const auto membership = tables_.membership.get())
        peers_.sweepIdle(*membership);
}

void RequestRunner::keepPeersWarm(const Asio::any_io_executor& executor)
{
    const auto membership = tables_.membership.get();
    if (!membership)
        return;
    const auto& identity = tables_.settings.identity;
    std::set<RegionId> regions;
    for (const auto& member : membership->instances)
        regions.insert(member.region);
    regions.erase(identity.region);
    for (const auto& region : regions) {
        for (const auto* member : forwardingEntries(*membership, identity.instance, region)) {
            if (member->state == MemberState::Live)
                spawnDetached(executor, peers_.keepWarm(*member, warmConnections), "warm peer connections");
        }
    }
}

RequestLimits RequestRunner::requestLimitsOf(const GatewayRequest& request, const Route* route, HopsLeft hops)
{
    RequestLimits limits;
    limits.hops = hops;
    limits.deadline = request.deadline;
    if (request.routed && route && route->policy)
        limits.maxRuns = route->policy->maxAttempts;
    if (request.routed)
        limits.takeRetry = [this, service = request.routed->service](TimePoint now) { return tables_.serviceRetries.takeRetry(service, now); };
    else
        limits.takeRetry = [this](TimePoint now) { return tables_.health.takeRetry(now); };
    return limits;
}

void RequestRunner::recordFirstAttempt(const GatewayRequest& request, HopsLeft hops, AttemptSink& answer)
{
    const auto now = SteadyClock().now();
    if (!request.routed) {
        tables_.health.recordRequest(now);
        return;
    }
    answer.retryServerErrors();
    if (hops == HopsLeft::One)
        tables_.serviceRetries.recordRequest(request.routed->service, now);
}

RequestRunner::TicketPointer RequestRunner::makeTicket(const GatewayRequest& request, const Place& place, const PlacementQuery& query)
{
    const auto* here = std::get_if<RunHere>(&place);
    if (!here || !request.routed)
        return nullptr;
    const auto id = tables_.placement.with([&](PlacementTable& table) { return table.begin(SteadyClock().now(), here->backendServer, query); });
    return std::make_unique<SharedPlacementTable::Ticket>(tables_.placement, id);
}

void RequestRunner::recordCrashEvidence(const Place& place, const PlacementQuery& query, const AttemptSink& answer, AttemptEnd end)
{
    const auto* here = std::get_if<RunHere>(&place);
    if (!here || query.prompt.empty() || end == AttemptEnd::Other)
        return;
    const auto now = SteadyClock().now();
    const bool hasBegunBefore = answer.firstPartAt() && now - *answer.firstPartAt() > beginningOfAnswer;
    if (end == AttemptEnd::Answered || hasBegunBefore) {
        tables_.quarantine.onAnswered(now, query);
        return;
    }
    const auto started = tables_.placement.with([&](PlacementTable& table) {
        const auto* state = table.findServer(here->backendServer);
        return state ? state->server.started : StartTime();
    });
    tables_.quarantine.onServerLost(now, here->backendServer, started, query);
}

MembershipPointer RequestRunner::usableMembership(const Snapshot& snapshot, const RouteId& routeId, const RequestLifecycle& lifecycle) const
{
    static const auto noMembers = std::make_shared<const MembershipView>();
    const auto membership = tables_.membership.get();
    return tables_.health.withoutUnhealthy(membership ? membership : noMembers, snapshot, routeId, lifecycle, SteadyClock().now());
}

// Waits until the request may run on an engine of this data centre. Plain services need no admission, as they do not
// batch requests.
Task<AdmissionSlotPointer> RequestRunner::admit(const GatewayRequest& request, RouteId routeId, const RequestLifecycle& lifecycle)
{
    const auto snapshot = requireConfiguration();
    const auto* route = snapshot->findRoute(routeId);
    if (!route || route->kind != BackendKind::Engine)
        co_return nullptr;
    AdmissionQuery query { std::move(routeId), request.workspace, costOf(request), request.deadline, { hashOf(request), prefixHashOf(request) } };
    auto membership = usableMembership(*snapshot, query.route, lifecycle);
    co_return co_await tables_.admission.admit(std::move(query), snapshot, std::move(membership), request.cancellation);
}

// Runs after connecting and before the first byte is written, so that a request whose permission was withdrawn in the
// meantime is not sent.
void RequestRunner::checkBeforeSend(const GatewayRequest& request, const RegionId& target, AttemptId attempt, RequestLifecycle& lifecycle) const
{
    const auto now = SteadyClock().now();
    if (request.cancellation->reason())
        throwIfFailed(lifecycle.handle(*request.cancellation->reason(), now));
    const auto access = accessOf(request, tables_.settings.identity.region);
    const auto decided = access == ResultCode::Ok ? accessOf(request, target) : access;
    throwIfFailed(lifecycle.handle(ConnectionReady { attempt, decided }, now));
}

// The home regions may have changed since the place was chosen, while the connection to it was made.
void RequestRunner::requireHomeRegion(const GatewayRequest& request, const RegionId& target) const
{
    if (!request.routed)
        return;
    const auto homeRegions = homeRegionsInForce(*requireConfiguration(), request.workspace, request.routed->route, request.routed->homeRegions);
    if (permitsRegion(homeRegions, target))
        return;
    tables_.metrics.increment("ibisturn_home_region_refusals_total");
    throw NotRunError(ResultCode::ResidencyRefused, Ran::No, fmt::format("The home regions changed before the request was sent to region {}", target));
}

// A backend server may have left, become cold or been restarted since it was chosen, while the connection to it was made.
void RequestRunner::requireUsableServer(
    const GatewayRequest& request, const Place& place, const std::optional<ServerProcess>& process, const std::optional<SoftwareVersion>& version) const
{
    const auto* here = std::get_if<RunHere>(&place);
    if (!here || !request.routed)
        return;
    const auto now = SteadyClock().now();
    StartTime registered;
    const bool isUsable = tables_.placement.with([&](PlacementTable& table) {
        if (const auto* state = table.findServer(here->backendServer))
            registered = state->server.started;
        return table.confirmSend(now, here->backendServer, process, version);
    });
    if (process && process->started != registered) {
        tables_.metrics.increment("ibisturn_unregistered_processes_total");
        serverLog.info("Backend server has another process than the registry.", { { "server", here->backendServer }, { "process", process->started ? process->started->count() : -1 }, { "registered", registered }, { "asked_ms_ago", std::chrono::duration_cast<std::chrono::milliseconds>(now - process->askedAt).count() }, { "sent", isUsable } });
    }
    if (!isUsable)
        throw NotRunError(ResultCode::NoBackendServer, Ran::No, "The backend server left, became cold, was restarted or changed its version before the request was sent");
}

void RequestRunner::bindStream(const GatewayRequest& request, HopsLeft hops, StreamBinding& stream, AttemptSink& answer)
{
    std::function<void(const SoftwareVersion&)> onFirstEvent;
    if (hops == HopsLeft::One)
        onFirstEvent = [this, &request](const SoftwareVersion& version) { recordStreamOrigin(tables_, request, version); };
    answer.bindStream(stream, hops, std::move(onFirstEvent));
}

ResultCode RequestRunner::accessOf(const GatewayRequest& request, const RegionId& region) const
{
    // Access was decided when the head arrived; the permitted regions are checked when the place is chosen.
    if (request.routed)
        return ResultCode::Ok;
    return decideAccess(*requireConfiguration(), region, { request.workspace, request.key });
}

// The region to which the request's data is sent.
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
    // The registry tells the version of the process that it names, and another one may run under its id by now.
    const bool isBoundToVersion = request.routed && request.routed->resume == ResumeSupport::Supported;
    request.needsProcess = request.routed && (isBoundToVersion || tables_.placement.with([&](PlacementTable& table) { return table.mustKnowProcess(server); }));
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

Task<void> RequestRunner::forward(SnapshotPointer snapshot, Member peer, RouteId route, GatewayRequest& request, ClaimRole role, AnswerSink& sink)
{
    ScopedSpan hop(tables_.tracer, "forward", request.parent);
    hop.span().setAttribute("peer", peer.id.value());
    tables_.metrics.increment("ibisturn_requests_forwarded_total");
    ForwardMessage message;
    message.workspace = request.workspace.value();
    message.route = route.value();
    message.revision = snapshot->revision().number();
    message.method = request.method;
    message.target = request.target;
    message.contentType = request.contentType;
    message.idempotencyKey = request.idempotencyKey.value();
    message.traceparent = formatTraceparent(hop.span().context());
    const auto left = std::chrono::duration_cast<std::chrono::milliseconds>(request.deadline - SteadyClock().now());
    message.timeoutMilliseconds = left.count() > 0 ? static_cast<std::uint64_t>(left.count()) : 0;
    // Copied, because the request may be retried.
    message.body = request.body;
    message.keyDigest = request.key ? request.key->value() : std::string();
    message.asksOwner = role == ClaimRole::AnswerAsOwner;
    message.eventsReceived = request.resumeAfter ? *request.resumeAfter + 1 : 0;
    if (request.routed) {
        message.routed.push_back(makeRoutedMessage(*request.routed, SteadyClock().now()));
        message.routed.back().revisionEra = snapshot->revision().era().count();
    }
    try {
        co_await peers_.run(peer, std::move(message), request, sink);
        tables_.peerReachability.record(peer.id, Reachability::Reachable);
    } catch (const Error& error) {
        // A failure caused by this side is no evidence about the target.
        if (request.cancellation->reason())
            throw;
        const bool isUnreachable = error.code() == ResultCode::PeerUnreachable || dynamic_cast<const PeerConnectionError*>(&error);
        tables_.peerReachability.record(peer.id, isUnreachable ? Reachability::Unreachable : Reachability::Reachable);
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
