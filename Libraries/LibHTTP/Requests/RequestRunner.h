#pragma once

#include <LibDecision/Requests/RequestLifecycle.h>
#include <LibDecision/Routing/PlaceDecision.h>
#include <LibHTTP/Backends/BackendClient.h>
#include <LibHTTP/Callers/CallerConnections.h>
#include <LibHTTP/Callers/HeldAnswerTable.h>
#include <LibHTTP/Peers/PeerClient.h>
#include <LibHTTP/Requests/AccessWatch.h>
#include <LibHTTP/Requests/AttemptSink.h>
#include <LibHTTP/Requests/ClaimRunner.h>
#include <LibHTTP/Requests/GatewayRequest.h>
#include <LibHTTP/Requests/InstanceTables.h>
#include <LibHTTP/Requests/RequestLog.h>

#include <memory>

namespace Ibisturn {

/// Sends the requests of one worker to the places chosen for them and relays the answers. RequestLifecycle decides what is
/// retried, refused or truncated.
/// Thread safety: the worker that owns it.
class RequestRunner {
public:
    /// Precondition: `tables` and `claims` outlive the runner.
    RequestRunner(InstanceTables& tables, ClaimService& claims);

    /// Runs a caller's request on this instance or one hop away. Throws Error.
    Task<void> runFromCaller(GatewayRequest request, AnswerSink& sink);

    /// Runs a peer's request on this instance or refuses it; never forwards it. Throws Error.
    Task<void> runFromPeer(ForwardMessage message, CancellationPointer cancellation, AnswerSink& sink);

    /// Checks all requests that wait or run against the current configuration. Must be called frequently.
    void reviewAccess();

    /// Closes the idle connections that no request is likely to use any more. Must be called about once a second.
    void sweepIdleConnections(TimePoint now);

    /// Keeps idle connections to the instances of other regions open, so that forwarded requests need not wait for a
    /// handshake. `executor` is the worker's.
    void keepPeersWarm(const Asio::any_io_executor& executor);

    /// Cancels the requests that still run; their callers receive an error.
    void cancelAllRequests() { access_.cancelAll(ResultCode::Draining); }

    /// The idle connections of callers on this worker.
    IdleConnections& idleConnections() { return callerConnections_.idle(); }

    /// The connections of callers on this worker.
    CallerConnections& callerConnections() { return callerConnections_; }

    /// The answers that are held for slow callers on this worker.
    HeldAnswerTable& heldAnswers() { return heldAnswers_; }

    /// Issues an idempotency key that this instance can guarantee to run once even while the store is unavailable.
    IdempotencyKey issueKey(const WorkspaceId& workspace) { return claims_.issueKey(workspace); }

private:
    /// Who holds the claim of a request that may run only once.
    enum class ClaimRole : std::uint8_t {
        Claim,
        AnswerAsOwner,
        HeldBySender,
    };

    enum class AttemptEnd : std::uint8_t {
        Answered,
        ServerLost,
        Other,
    };

    Task<void> run(GatewayRequest request, RouteId routeId, HopsLeft hops, ClaimRole role, AnswerSink& sink);
    Task<void> runClaimed(GatewayRequest request, RouteId routeId, HopsLeft hops, ClaimScope scope, AnswerSink& sink);
    Task<void> runPlaced(GatewayRequest request, RouteId routeId, HopsLeft hops, AnswerSink& sink);
    Task<void> forwardToOwner(InstanceId owner, GatewayRequest request, RouteId routeId, AnswerSink& sink);
    Task<AdmissionSlotPointer> admit(const GatewayRequest& request, RouteId routeId, const RequestLifecycle& lifecycle);
    MembershipPointer usableMembership(const Snapshot& snapshot, const RouteId& routeId, const RequestLifecycle& lifecycle) const;
    Task<void> attempt(Place place, RouteId route, GatewayRequest& request, RequestLifecycle& lifecycle, AttemptSink& sink);
    Task<void> runHere(SnapshotPointer snapshot, BackendServerId server, Repeatability repeatability, GatewayRequest& request, AnswerSink& sink);
    Task<void> forward(SnapshotPointer snapshot, Member peer, RouteId route, GatewayRequest& request, ClaimRole role, AnswerSink& sink);
    /// How an attempt on a backend server bears on the suspicion that a part of its prompt crashes servers.
    void recordCrashEvidence(const Place& place, const PlacementQuery& query, const AttemptSink& answer, AttemptEnd end);
    using TicketPointer = std::unique_ptr<SharedPlacementTable::Ticket>;

    struct RoutedPlace {
        Place place;
        /// Of the backend server of this region that runs a stream that may be resumed.
        std::optional<SoftwareVersion> version;
    };

    /// Sets `query` to the one for which the place was chosen.
    RoutedPlace chooseRoutedPlace(
        GatewayRequest& request, HopsLeft hops, const RequestLifecycle& lifecycle, std::set<RegionId>& failedRegions, RequestLog& requestLog, PlacementQuery& query);
    RequestLimits requestLimitsOf(const GatewayRequest& request, const Route* route, HopsLeft hops);
    void recordFirstAttempt(const GatewayRequest& request, HopsLeft hops, AttemptSink& answer);
    TicketPointer makeTicket(const GatewayRequest& request, const Place& place, const PlacementQuery& query);
    std::optional<BackendServer> findBackendServer(const Snapshot& snapshot, const BackendServerId& id, const GatewayRequest& request);
    Place choosePlace(const GatewayRequest& request, const RouteId& routeId, HopsLeft hops, const RequestLifecycle& lifecycle, ResumeNeed resume);
    void checkBeforeSend(const GatewayRequest& request, const RegionId& target, AttemptId attempt, RequestLifecycle& lifecycle) const;
    void requireHomeRegion(const GatewayRequest& request, const RegionId& target) const;
    void requireUsableServer(
        const GatewayRequest& request, const Place& place, const std::optional<ServerProcess>& process, const std::optional<SoftwareVersion>& version) const;
    Task<void> findStreamOrigin(SnapshotPointer snapshot, GatewayRequest& request);
    /// Binds `answer` to the version that begins its stream. Precondition: `request` and `stream` outlive `answer`.
    void bindStream(const GatewayRequest& request, HopsLeft hops, StreamBinding& stream, AttemptSink& answer);
    ResultCode accessOf(const GatewayRequest& request, const RegionId& region) const;
    RegionId regionOf(const Place& place) const;
    SnapshotPointer requireConfiguration() const;

    InstanceTables& tables_;
    ClaimService& claims_;
    std::unique_ptr<RoutingStrategy> strategy_;
    BackendClient backends_;
    PeerClient peers_;
    AccessWatch access_;
    CallerConnections callerConnections_;
    HeldAnswerTable heldAnswers_;
};

} // namespace Ibisturn
