#include <LibHTTP/RequestRunner.h>

#include <LibCore/SteadyClock.h>
#include <LibHTTP/CompletionScanner.h>
#include <LibHTTP/RoutingStrategyRegistry.h>

#include <utility>

namespace Ibisturn {

namespace {

/// Counts a request as under way on a backend server while it lives.
class OutstandingRequest {
public:
    OutstandingRequest(LoadTable& load, BackendServerId server)
        : load_(load)
        , server_(std::move(server))
    {
        load_.begin(server_);
    }

    ~OutstandingRequest() { load_.end(server_); }
    OutstandingRequest(const OutstandingRequest&) = delete;
    OutstandingRequest& operator=(const OutstandingRequest&) = delete;

private:
    LoadTable& load_;
    BackendServerId server_;
};

/// Ends and exports a span when its hop is over, also after an exception.
class HopSpan {
public:
    HopSpan(const Tracer& tracer, std::string name, const std::optional<TraceContext>& parent)
        : tracer_(tracer)
        , span_(std::move(name), parent)
    {
    }

    ~HopSpan() { tracer_.finish(span_); }
    HopSpan(const HopSpan&) = delete;
    HopSpan& operator=(const HopSpan&) = delete;

    Span& span() { return span_; }

private:
    const Tracer& tracer_;
    Span span_;
};

std::uint64_t hashOf(const GatewayRequest& request)
{
    return std::hash<std::string> {}(request.parent ? request.parent->spanId : request.body);
}

HelloMessage helloOf(const InstanceIdentity& identity)
{
    return { identity.instance.value(), identity.region.value(), identity.dataCentre.value(), 0 };
}

std::unique_ptr<RoutingStrategy> makeStrategy(const std::string& name)
{
    auto strategy = RoutingStrategyRegistry::instance().make(name);
    if (!strategy)
        throw Error(ResultCode::SettingsInvalid, Ran::No, "There is no routing strategy named " + name);
    return strategy;
}

constexpr std::size_t frameOverhead = 64UL * 1024;

} // namespace

RequestRunner::RequestRunner(InstanceTables& tables)
    : tables_(tables)
    , strategy_(makeStrategy(tables.settings.routingStrategy))
    , backends_(tables.settings.connectTimeout, tables.settings.requestTimeout)
    , peers_(helloOf(tables.settings.identity),
          { tables.settings.connectTimeout, tables.settings.requestTimeout, tables.settings.bodyLimit + ByteCount(frameOverhead) })
{
}

Task<void> RequestRunner::runFromCaller(GatewayRequest request, AnswerSink& sink)
{
    const auto snapshot = requireConfiguration();
    const auto* route = findRouteFor(*snapshot, request.path(), ModelName());
    if (request.path().starts_with("/v1/")) {
        request.model = scanCompletion(request.body).model;
        route = findRouteFor(*snapshot, request.path(), request.model);
    }
    if (!route)
        throw Error(ResultCode::RouteNotFound, Ran::No, "No route serves this path and model");
    RouteId routeId = route->id;
    co_await run(std::move(request), std::move(routeId), HopsLeft::One, sink);
}

Task<void> RequestRunner::runFromPeer(ForwardMessage message, AnswerSink& sink)
{
    const auto snapshot = requireConfiguration();
    // The higher revision decides: behind the sender, this instance can't know the rules in force.
    if (snapshot->revision() < Revision(message.revision))
        throw Error(ResultCode::ConfigurationBehind, Ran::No, "This instance's configuration is behind the sender's");
    GatewayRequest request;
    request.workspace = WorkspaceId(std::move(message.workspace));
    request.method = std::move(message.method);
    request.target = std::move(message.target);
    request.contentType = std::move(message.contentType);
    request.idempotencyKey = IdempotencyKey(std::move(message.idempotencyKey));
    request.body = std::move(message.body);
    request.parent = parseTraceparent(message.traceparent);
    request.deadline = SteadyClock().now() + std::chrono::milliseconds(message.timeoutMilliseconds);
    RouteId routeId(std::move(message.route));
    co_await run(std::move(request), std::move(routeId), HopsLeft::None, sink);
}

Task<void> RequestRunner::run(GatewayRequest request, RouteId routeId, HopsLeft hops, AnswerSink& sink)
{
    const auto snapshot = requireConfiguration();
    const auto membership = tables_.membership.get();
    const auto* route = snapshot->findRoute(routeId);
    if (!route)
        throw Error(ResultCode::RouteNotFound, Ran::No, "The route is not in force here");
    if (!mayUseRoute(*route, request.workspace))
        throw Error(ResultCode::WorkspaceNotAllowed, Ran::No, "The route is not open to this workspace");
    static const MembershipView noMembers;
    const auto outstanding = [this](const BackendServerId& server) { return tables_.load.outstanding(server); };
    const PlaceQuery query { *snapshot, membership ? *membership : noMembers, tables_.settings.identity, request.workspace, *route, hops,
        hashOf(request), outstanding };
    const Place place = decidePlace(query, *strategy_);
    if (const auto* refusal = std::get_if<RefuseRequest>(&place))
        throw Error(refusal->code, Ran::No, std::string(resultCodeEntry(refusal->code).meaning));
    if (const auto* here = std::get_if<RunHere>(&place)) {
        co_await runHere(snapshot, here->backendServer, route->repeatability, std::move(request), sink);
        co_return;
    }
    Member peer = *membership->find(std::get<ForwardTo>(place).instance);
    co_await forward(snapshot, std::move(peer), std::move(routeId), std::move(request), sink);
}

Task<void> RequestRunner::runHere(SnapshotPointer snapshot, BackendServerId server, Repeatability repeatability, GatewayRequest request, AnswerSink& sink)
{
    const OutstandingRequest outstanding(tables_.load, server);
    HopSpan hop(tables_.tracer, "backend", request.parent);
    hop.span().setAttribute("backend_server", server.value());
    request.parent = hop.span().context();
    const auto* record = snapshot->findBackendServer(server);
    co_await backends_.run(*record, request, repeatability, sink);
}

Task<void> RequestRunner::forward(SnapshotPointer snapshot, Member peer, RouteId route, GatewayRequest request, AnswerSink& sink)
{
    HopSpan hop(tables_.tracer, "forward", request.parent);
    hop.span().setAttribute("peer", peer.id.value());
    tables_.metrics.increment("ibisturn_requests_forwarded_total");
    ForwardMessage message;
    message.workspace = request.workspace.value();
    message.route = route.value();
    message.revision = snapshot->revision().count();
    message.method = std::move(request.method);
    message.target = std::move(request.target);
    message.contentType = std::move(request.contentType);
    message.idempotencyKey = request.idempotencyKey.value();
    message.traceparent = formatTraceparent(hop.span().context());
    const auto left = std::chrono::duration_cast<std::chrono::milliseconds>(request.deadline - SteadyClock().now());
    message.timeoutMilliseconds = left.count() > 0 ? static_cast<std::uint64_t>(left.count()) : 0;
    message.body = std::move(request.body);
    try {
        co_await peers_.run(peer, std::move(message), sink);
        tables_.peerReach.note(peer.id, Reach::Answered);
    } catch (const Error& error) {
        const bool isSilent = error.code() == ResultCode::PeerUnreachable || error.code() == ResultCode::OutcomeUnknown;
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
