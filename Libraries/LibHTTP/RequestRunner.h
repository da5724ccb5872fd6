#pragma once

#include <LibDecision/Routing/PlaceDecision.h>
#include <LibHTTP/BackendClient.h>
#include <LibHTTP/GatewayRequest.h>
#include <LibHTTP/InstanceTables.h>
#include <LibHTTP/PeerClient.h>

#include <memory>

namespace Ibisturn {

/// Takes requests of one worker to the place that decisions choose, and their answers back.
/// Thread safety: the worker that owns it.
class RequestRunner {
public:
    /// Precondition: `tables` outlives the runner.
    explicit RequestRunner(InstanceTables& tables);

    /// Runs a caller's request here or one hop away. Throws Error.
    Task<void> runFromCaller(GatewayRequest request, AnswerSink& sink);

    /// Runs a peer's request here or refuses it; never hands it on. Throws Error.
    Task<void> runFromPeer(ForwardMessage message, AnswerSink& sink);

private:
    Task<void> run(GatewayRequest request, RouteId routeId, HopsLeft hops, AnswerSink& sink);
    Task<void> runHere(SnapshotPointer snapshot, BackendServerId server, Repeatability repeatability, GatewayRequest request, AnswerSink& sink);
    Task<void> forward(SnapshotPointer snapshot, Member peer, RouteId route, GatewayRequest request, AnswerSink& sink);
    SnapshotPointer requireConfiguration() const;

    InstanceTables& tables_;
    std::unique_ptr<RoutingStrategy> strategy_;
    BackendClient backends_;
    PeerClient peers_;
};

} // namespace Ibisturn
