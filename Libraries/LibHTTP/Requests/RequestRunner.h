#pragma once

#include <LibDecision/Requests/RequestLifecycle.h>
#include <LibDecision/Routing/PlaceDecision.h>
#include <LibHTTP/Backends/BackendClient.h>
#include <LibHTTP/Callers/IdleConnections.h>
#include <LibHTTP/Peers/PeerClient.h>
#include <LibHTTP/Requests/AccessWatch.h>
#include <LibHTTP/Requests/AttemptSink.h>
#include <LibHTTP/Requests/ClaimRunner.h>
#include <LibHTTP/Requests/GatewayRequest.h>
#include <LibHTTP/Requests/InstanceTables.h>
#include <LibHTTP/Requests/RequestJournal.h>

#include <memory>

namespace Ibisturn {

/// Takes requests of one worker to the places that decisions choose, and their answers back. What is tried
/// again, refused or cut is decided by RequestLifecycle.
/// Thread safety: the worker that owns it.
class RequestRunner {
public:
    /// Precondition: `tables` and `claims` outlive the runner.
    RequestRunner(InstanceTables& tables, ClaimService& claims);

    /// Runs a caller's request here or one hop away. Throws Error.
    Task<void> runFromCaller(GatewayRequest request, AnswerSink& sink);

    /// Runs a peer's request here or refuses it; never hands it on. Throws Error.
    Task<void> runFromPeer(ForwardMessage message, CancellationPointer cancellation, AnswerSink& sink);

    /// Asks the configuration in force about all requests that wait or run; to be called often.
    void reviewAccess();

    /// Keeps connections to the instances of other regions open, on which requests may go at once. `executor` is the
    /// worker's.
    void keepPeersWarm(const Asio::any_io_executor& executor);

    /// Cuts what still runs, visibly to its callers.
    void cutAll() { access_.cancelAll(ResultCode::Draining); }

    /// The callers' connections of this worker that are idle.
    IdleConnections& idleConnections() { return idleConnections_; }

    /// Issues a key that this instance runs once, also while the store is away.
    IdempotencyKey issueKey(const WorkspaceId& workspace) { return claims_.issueKey(workspace); }

private:
    /// Who claims a request that may run once only.
    enum class ClaimDuty : std::uint8_t {
        Claim,
        AnswerAsOwner,
        HeldBySender,
    };

    Task<void> run(GatewayRequest request, RouteId routeId, HopsLeft hops, ClaimDuty duty, AnswerSink& sink);
    Task<void> runClaimed(GatewayRequest request, RouteId routeId, HopsLeft hops, ClaimScope scope, AnswerSink& sink);
    Task<void> runPlaced(GatewayRequest request, RouteId routeId, HopsLeft hops, AnswerSink& sink);
    Task<void> askOwner(InstanceId owner, GatewayRequest request, RouteId routeId, AnswerSink& sink);
    Task<AdmissionSlotPointer> admit(const GatewayRequest& request, RouteId routeId, const RequestLifecycle& life);
    MembershipPointer usableMembership(const Snapshot& snapshot, const RouteId& routeId, const RequestLifecycle& life) const;
    Task<void> attempt(Place place, RouteId route, GatewayRequest& request, RequestLifecycle& life, AttemptSink& sink);
    Task<void> runHere(SnapshotPointer snapshot, BackendServerId server, Repeatability repeatability, GatewayRequest& request, AnswerSink& sink);
    Task<void> forward(SnapshotPointer snapshot, Member peer, RouteId route, GatewayRequest& request, ClaimDuty duty, AnswerSink& sink);
    using TicketPointer = std::unique_ptr<PlacementBoard::Ticket>;

    /// Leaves in `ask` what the place was chosen for.
    Place chooseRoutedPlace(
        const GatewayRequest& request, HopsLeft hops, const RequestLifecycle& life, std::set<RegionId>& failedRegions, RequestJournal& journal, PlacementQuery& ask);
    RequestLimits termsOf(const GatewayRequest& request, const Route* route, HopsLeft hops);
    void noteFirstAttempt(const GatewayRequest& request, HopsLeft hops, AttemptSink& answer);
    TicketPointer makeTicket(const GatewayRequest& request, const Place& place, const PlacementQuery& ask);
    std::optional<BackendServer> findBackendServer(const Snapshot& snapshot, const BackendServerId& id, const GatewayRequest& request);
    Place choosePlace(const GatewayRequest& request, const RouteId& routeId, HopsLeft hops, const RequestLifecycle& life, ResumeNeed resume);
    void askToHandOver(const GatewayRequest& request, const RegionId& target, AttemptId attempt, RequestLifecycle& life) const;
    ResultCode accessOf(const GatewayRequest& request, const RegionId& region) const;
    RegionId regionOf(const Place& place) const;
    SnapshotPointer requireConfiguration() const;

    InstanceTables& tables_;
    ClaimService& claims_;
    std::unique_ptr<RoutingStrategy> strategy_;
    BackendClient backends_;
    PeerClient peers_;
    AccessWatch access_;
    IdleConnections idleConnections_;
};

} // namespace Ibisturn
