#pragma once

#include <LibConfiguration/Snapshot.h>
#include <LibCore/ResultCode.h>
#include <LibDecision/Placement/PlacementQuery.h>
#include <LibDecision/Placement/PromptCacheEstimate.h>
#include <LibDecision/PromptAffinity/AssumedCache.h>
#include <LibDecision/PromptAffinity/LoadBound.h>
#include <LibDecision/PromptAffinity/PromptAffinity.h>
#include <LibDecision/Registry/BackendRegistry.h>
#include <LibDecision/Scheduling/RetrySchedule.h>
#include <LibDecision/ServerRates/RestartSuspicion.h>
#include <LibDecision/ServerRates/ServerRate.h>

#include <deque>
#include <map>
#include <optional>
#include <set>
#include <unordered_map>
#include <variant>

namespace Ibisturn {

/// Identifies a request that this instance placed on a backend server.
using PlacementId = Quantity<struct PlacementTag, std::uint64_t>;

/// Run the request on this backend server of the own region.
struct PlaceOnServer {
    BackendServerId server;
    /// The expected time until the first part of the answer.
    Duration expected {};
    /// For how much longer the backend server is cold; zero if it is not.
    Duration coldLeft {};
    /// Whether the request also finds out if the backend server is still as slow as believed.
    bool isTrial { false };
    /// The rank of the backend server for the request's session, from 0; nullopt if it has none among the first.
    std::optional<std::size_t> sessionRank;
    /// The tokens that count as cached there although this instance did not send them.
    TokenCount assumedTokens;
    /// The software version that the backend server runs.
    SoftwareVersion version;
};

/// Forward the request to an instance of this region.
struct PlaceInRegion {
    RegionId region;
    Duration expected {};
};

/// No backend server or region can serve the request in time; it has not run.
struct RefusePlacement {
    ResultCode code { ResultCode::NoBackendServer };
    /// When the caller should retry.
    Duration retryAfter {};
    /// The expected time to the first part at the best candidate; nullopt if there was no candidate.
    std::optional<Duration> expected;
    /// Whether capacity is reserved for the caller's return, and the work per second of this instance on which that rests.
    bool isReserved { false };
    double forecastRate { 0 };
};

using PlacementDecision = std::variant<PlaceOnServer, PlaceInRegion, RefusePlacement>;

/// The load that a backend server reported in an answer.
struct ServerLoad {
    std::uint32_t running { 0 };
    std::uint32_t waiting { 0 };
    std::uint32_t slots { 0 };
    /// How long work takes on its machine at this moment, in percent of what is usual; zero if it does not say.
    std::uint32_t pacePercent { 0 };
};

/// How a request on a backend server ended.
enum class PlacementOutcome : std::uint8_t {
    Answered,
    /// The backend server refused it for lack of capacity and did not run it.
    Full,
    /// No connection could be made.
    Unreachable,
    /// Another backend server now uses its address.
    Replaced,
    /// The answer was truncated or invalid, or did not come in time.
    Failed,
    /// The connection broke before the answer was complete; the backend server's process may have ended.
    Lost,
    /// What came in place of an answer was no valid HTTP, or exceeded a bound.
    Spoiled,
    /// The result says nothing about the backend server, for example because the caller disconnected.
    Unknown,
};

/// A new process of a backend server became known, and what this instance had sent to the server until then.
struct ObservedRestart {
    BackendServerId server;
    StartTime before;
    StartTime started;
    /// The requests that were sent within the last second.
    std::size_t sentInLastSecond { 0 };
    /// Whether a restart was suspected; see RestartSuspicion.
    bool wasSuspected { false };
};

/// The load that one or several instances put on a backend server, as reported to the other instances of the region.
struct InstanceLoad {
    BackendServerId server;
    std::uint32_t requests { 0 };
    /// Prompt tokens that are not prefilled yet: of requests with priority 0, and of all requests.
    TokenCount urgentBacklog;
    TokenCount backlog;
    /// Tokens reserved in the engine's memory by all its requests.
    TokenCount reservedTokens;
};

/// Estimated wait for the first part of an answer of a service in a region.
struct RegionWaitEstimate {
    ServiceId service;
    Duration urgentWait {};
    Duration wait {};
    /// Engine time per uncached prompt token there.
    double millisecondsPerToken { 0 };
};

/// Parameters of a PlacementTable.
struct PlacementLimits {
    /// Assumed round-trip time to another region, before any is measured.
    Duration regionRoundTrip { std::chrono::milliseconds(130) };
    /// How much cheaper another region must be, so that small differences don't send requests out of the region.
    Duration regionMargin { std::chrono::milliseconds(60) };
    /// Load reports and wait estimates of other instances expire after this time.
    Duration reportLifetime { std::chrono::milliseconds(1500) };
    /// Assumed time from the arrival at an idle engine to the first token of an empty prompt, before any is measured.
    Duration timeToFirstToken { std::chrono::milliseconds(60) };
    /// Assumed processing time of a plain service's request, before any is measured.
    Duration plainServiceTime { std::chrono::milliseconds(20) };
    /// Measured times are not used after this time without a new measurement.
    Duration measurementLifetime { std::chrono::minutes(5) };
    /// A backend server's report of its own load is used for this long.
    Duration serverLoadLifetime { std::chrono::milliseconds(1000) };
    /// Engine time per prompt token, before any is measured.
    double millisecondsPerToken { 0.015 };
    /// Weight of engine time spent on prefill relative to the request's own wait: other requests wait for it too.
    double prefillWeight { 3 };
    /// The share of an engine's memory that may be reserved for running requests.
    double memoryShare { 0.9 };
    /// The share of an engine's memory that caches prompt parts.
    double cacheShare { 0.6 };
    /// Consecutive failures after which a reachable backend server is excluded.
    std::uint32_t failuresBeforeBackoff { 3 };
    /// A failed backend server is excluded for this long at first, and for twice as long after each further failure.
    Duration initialBackoff { std::chrono::milliseconds(250) };
    Duration maxBackoff { std::chrono::milliseconds(2000) };
    /// A backend server whose address another one uses is excluded for this long, unless it registers again.
    Duration replacedBackoff { std::chrono::milliseconds(5000) };
    /// Requests that wait for their first part this much longer than expected indicate that their backend server hangs.
    Duration overdueMargin { std::chrono::milliseconds(400) };
    /// A backend server that refused a request for lack of capacity is excluded for this long.
    Duration fullBackoff { std::chrono::milliseconds(60) };
    /// How far a request's first part may be expected past its target, as a share of the time left until the target.
    double allowedLateness { 0.5 };
    /// The share of a service's connection limit that all instances use together.
    double connectionShare { 0.9 };
    /// In a region with no more backend servers of a service than this, all of them are considered for each request. In a larger one,
    /// only those that hold its session and a few that it draws, unless none of these can serve it in time.
    std::size_t serversAllConsidered { 4 };
    /// While no region has more backend servers of a service than this, the sessions' prompt parts are spread over the servers of all regions.
    std::size_t serversSharedByRegions { 8 };
    /// Sessions of which a server's memory takes fewer than this are spread over the servers of all regions, too.
    std::int64_t minSessionsPerServer { 40 };
    /// How many backend servers a request draws. The better of two has nearly the least load.
    std::size_t drawnServers { 2 };
};

/// Chooses the backend server of this region, or the other region, that runs a request: the one with the lowest cost, which
/// combines the expected time to the first part of the answer with the prefill work. The choice takes into account cached
/// prompts, requests in flight from this and the other instances, and recent failures, so that requests avoid failing and
/// cold backend servers, and load peaks that exceed one region's capacity spill over to other regions.
/// Thread safety: one thread at a time.
class PlacementTable {
public:
    explicit PlacementTable(RegionId ownRegion, PlacementLimits limits = {});

    /// Sets the usable backend servers of all regions.
    void setServers(const std::vector<BackendState>& servers, const Snapshot& snapshot);

    /// Sets the software versions that may begin resumable streams, for each service. A service without an entry has none.
    void setListedVersions(std::map<ServiceId, std::set<SoftwareVersion>> versions) { listedVersions_ = std::move(versions); }

    /// Sets this instance's id and the live instances of its region, including itself.
    void setInstances(const InstanceId& self, const std::vector<InstanceId>& inRegion);

    /// Sets the backend servers that this instance may send requests to while they are cold, and until when it may.
    void setColdServersHeld(std::map<BackendServerId, TimePoint> heldUntil) { coldServersHeldUntil_ = std::move(heldUntil); }

    /// The backend servers of this region that are cold and can take only a limited rate.
    std::vector<BackendServerId> coldServers(TimePoint now) const;

    /// The number of backend servers of this region where a new, cold process may run; see RestartSuspicion.
    std::size_t suspectedRestarts(TimePoint now) const;

    /// The restarts that became known since the last call.
    std::vector<ObservedRestart> takeRestarts(TimePoint now);

    /// Replaces the load that the other instances of the region together put on the backend servers, as of `receivedAt`.
    void setOtherLoads(TimePoint receivedAt, const std::vector<InstanceLoad>& loads);

    /// Updates the wait estimates of another region.
    void onWaitEstimates(TimePoint now, const RegionId& region, const std::vector<RegionWaitEstimate>& waitEstimates);

    /// Chooses where a request runs. Nothing is reserved. A request that requires a software version is refused with StreamVersionGone,
    /// without a time to retry after, if no region that its home regions permit has a usable backend server of that version.
    PlacementDecision place(TimePoint now, const PlacementQuery& query);

    /// Records that a request is sent to a backend server or forwarded to another region.
    PlacementId begin(TimePoint now, const BackendServerId& server, const PlacementQuery& query);

    /// Must be called right before a request is written to a backend server, which may have left, become cold or been restarted since
    /// place() chose it. `process` is the process at the other end of the connection; unset if such servers can't be asked.
    /// Returns whether the request may be sent, and counts it if the server is cold. If `version` is set, that process must run that software
    /// version, which the registry tells only of the process that it names. A server without a cold rate that does not say which process it is
    /// counts as the registered one.
    bool confirmSend(TimePoint now, const BackendServerId& server, const std::optional<ServerProcess>& process = std::nullopt, const std::optional<SoftwareVersion>& version = std::nullopt);

    /// Whether a new process of the backend server would be cold, so that the process at the other end of a new connection must be known.
    bool mustKnowProcess(const BackendServerId& server) const;
    void recordForward(const RegionId& region, const PlacementQuery& query);

    /// Records that the first part of an answer arrived.
    void onFirstPart(TimePoint now, PlacementId id);

    /// Records a measured round-trip time to another region.
    void onRoundTrip(TimePoint now, const RegionId& region, Duration roundTrip);

    /// Updates the slots and the load that a backend server reports.
    void onServerLoad(TimePoint now, const BackendServerId& server, const ServerLoad& load);

    /// A backend server announced in an answer that it is leaving; its present process gets no further requests. Returns whether that
    /// is new.
    bool onServerLeaving(TimePoint now, const BackendServerId& server);

    /// A connection without a request to the backend server at `endpoint` was closed although the server promised to keep it open.
    void onConnectionLost(TimePoint now, const Endpoint& endpoint);

    /// A backend server that refused a request wants no others from this instance for `pause`.
    void onRetryAfter(TimePoint now, const BackendServerId& server, Duration pause);

    /// Records the end of a request. Unknown ids are ignored.
    void end(TimePoint now, PlacementId id, PlacementOutcome outcome);

    /// The usable backend server of this region with this id, or null.
    const BackendState* findServer(const BackendServerId& id) const;

    /// The software version that a usable backend server of this region runs; unset if there is no such server.
    std::optional<SoftwareVersion> versionOf(const BackendServerId& id) const;

    /// The addresses of the usable backend servers of this region.
    std::set<Endpoint> endpoints() const;

    /// The load of this instance's in-flight requests.
    std::vector<InstanceLoad> ownLoads() const;

    /// The wait estimates of this region.
    std::vector<RegionWaitEstimate> waitEstimates(TimePoint now) const;

    /// The maximum number of connections from this instance to a backend server; 0 if unlimited.
    std::uint32_t maxConnections(const BackendServerId& server) const;

private:
    struct Load {
        TokenCount urgentBacklog;
        TokenCount backlog;
        TokenCount reservedTokens;
        std::uint32_t requests { 0 };
    };

    struct Server {
        BackendState state;
        std::optional<EngineTraits> engine;
        double coldRate { 0 };
        Duration coldPeriod {};
        std::uint32_t maxConnections { 0 };
        Load ownLoad;
        /// Of the other instances.
        Load otherLoad;
        PromptCacheEstimate cache;
        AssumedCache assumedCache;
        /// The share of `assumedCache` when the server was last considered.
        double assumedShare { AssumedCache::usualShare };
        TimePoint backoffUntil {};
        /// It asked not to be sent requests until then.
        TimePoint pausedUntil {};
        bool isLeaving { false };
        std::uint32_t failures { 0 };
        /// Spoiled answers since the last request that was sent after one of them and was answered.
        std::uint32_t spoiledAnswers { 0 };
        TimePoint lastSpoiledAt {};
        ServerRate rate;
        RestartSuspicion restart;
        /// As the registry has them; reports may differ.
        std::uint32_t registeredSlots { 0 };
        TimePoint nextColdRequestAt {};
        /// The process that answered on a connection although the registry names another one, and until when it may be cold.
        std::optional<StartTime> unregisteredProcess;
        TimePoint unregisteredSince {};
        TimePoint unregisteredColdUntil {};
        /// When requests were sent to it while it was cold, within the last second.
        std::deque<TimePoint> coldSends;
        /// When requests were sent to it within the last second.
        std::deque<TimePoint> recentSends;
        /// Running and waiting requests as the server reported them, and this instance's requests there at that time.
        std::uint32_t reportedRequests { 0 };
        std::uint32_t ownRequestsAtReport { 0 };
        TimePoint reportedAt {};
        /// When the first part of each request that still waits for it was expected, earliest first.
        std::set<std::pair<TimePoint, std::uint64_t>> awaitedFirstParts;
    };

    struct PlacedRequest {
        BackendServerId server;
        Load load;
        bool hasStarted { false };
        TimePoint sentAt;
        Duration expected {};
        /// `expected` at the average rates of the service, without what was known of this backend server.
        Duration base {};
        TokenCount uncachedTokens;
        /// Whether nothing was ahead of it, so that the time to its first part is that of an idle server.
        bool isFirstInLine { false };
        /// The tokens that counted as cached although this instance did not send them.
        TokenCount assumedTokens;
    };

    /// A smoothed measurement.
    struct MeasuredTime {
        Duration value {};
        TimePoint measuredAt {};
    };

    struct MeasuredFactor {
        double value { 1 };
        TimePoint measuredAt {};
    };

    struct TimedWaitEstimate {
        TimePoint receivedAt;
        RegionWaitEstimate estimate;
    };

    struct RegionState {
        std::map<ServiceId, TimedWaitEstimate> waitEstimates;
        std::map<ServiceId, std::uint32_t> servers;
        /// The software versions of its usable backend servers, for each service.
        std::map<ServiceId, std::set<SoftwareVersion>> versions;
        PromptCacheEstimate cache;
        MeasuredTime roundTrip;
    };

    struct PendingRestart {
        ObservedRestart restart;
        std::deque<TimePoint> sends;
        RestartSuspicion suspicion;
    };

    /// A process of a backend server that is leaving.
    struct LeavingServer {
        StartTime started;
        SoftwareVersion version;
        TimePoint announcedAt;
    };

    /// A possible choice, its expected time to the first part of the answer, and its total cost.
    struct Candidate {
        Server* server { nullptr };
        const RegionId* region { nullptr };
        Duration wait {};
        Duration cost {};
    };

    /// A backend server of any region.
    struct ServerLocation {
        BackendServerId server;
        RegionId region;
    };

    /// Which backend servers of this region hold the sessions of a service, and the load that bounds them.
    struct ServiceAffinity {
        PromptAffinity sessions;
        LoadBound bound;
        std::optional<TimePoint> refreshedAt;
    };

    bool isAllowedIn(const PlacementQuery& query, const RegionId& region) const;
    /// Whether a backend server of this version may run the request.
    bool permitsVersion(const PlacementQuery& query, const SoftwareVersion& version) const;
    /// Whether a region has a usable backend server whose version may run the request.
    bool hasPermittedVersion(const PlacementQuery& query, const RegionState& region) const;
    /// Whether the request requires a version that no permitted region has.
    bool isVersionGone(const PlacementQuery& query) const;
    bool isUsable(TimePoint now, const Server& server, const PlacementQuery& query) const;
    static TimePoint coldUntil(const Server& server);
    static bool isCold(TimePoint now, const Server& server);
    /// Whether the registry names the process at the other end of a connection, as far as that is known.
    static bool isRegistered(const Server& server, const std::optional<ServerProcess>& process);
    /// Whether a request may reach the process at the other end of a connection, as far as its identity decides.
    static bool acceptProcess(TimePoint now, Server& server, const ServerProcess& process);
    static bool acceptKnownProcess(TimePoint now, Server& server, StartTime started, TimePoint askedAt);
    /// Whether a new, cold process may run there and this instance has used up its share of what such a process sustains.
    bool isHeldBack(TimePoint now, const Server& server) const;
    std::size_t ownRank() const;
    bool holdsColdServer(TimePoint now, const BackendServerId& id) const;
    Load totalLoad(TimePoint now, const Server& server) const;
    void measure(MeasuredTime& time, TimePoint now, Duration sample, Duration initial) const;
    void measureIdleTime(TimePoint now, const Server& server, Duration sample);
    double millisecondsPerToken(TimePoint now, const ServiceId& service) const;
    Duration measuredOr(const MeasuredTime& time, TimePoint now, Duration initial) const;
    /// The time to the first part of an answer of an idle server of a service, without prefill.
    Duration idleTime(TimePoint now, const Server& server) const;
    static void stopAwaiting(Server& server, std::uint64_t id, const PlacedRequest& placed);
    Duration overdueTime(TimePoint now, const Server& server) const;
    void recordRatio(TimePoint now, Server& server, double ratio);
    double serviceRatio(TimePoint now, const ServiceId& service) const;
    Duration estimateWait(TimePoint now, const Server& server, const PlacementQuery& query, TokenCount uncachedTokens) const;
    TokenCount uncachedTokens(const PromptCacheEstimate& cache, bool isPreferred, const PlacementQuery& query) const;
    TokenCount uncachedTokens(const Server& server, const PlacementQuery& query, const ServerLocation* preferred) const;
    /// The tokens that count as cached on a backend server of this region beyond those that this instance sent there.
    TokenCount assumedTokens(const Server& server, const PlacementQuery& query, const ServerLocation* preferred) const;
    const ServerLocation* preferredServer(const PlacementQuery& query) const;
    void refreshAffinity(TimePoint now, ServiceAffinity& affinity);
    bool isWithinBound(TimePoint now, const Server& server, const ServiceAffinity& affinity) const;
    std::vector<Server*> sessionHolders(TimePoint now, const PlacementQuery& query, const ServiceAffinity& affinity);
    std::vector<Server*> drawnServers(TimePoint now, const PlacementQuery& query, const ServiceAffinity& affinity);
    Candidate candidateFor(TimePoint now, Server& server, const PlacementQuery& query, const ServerLocation* preferred);
    bool ranksByRegion(const PlacementQuery& query) const;
    Duration costOf(Duration wait, TokenCount uncachedTokens, double millisecondsPerToken) const;
    std::optional<Duration> shortestPause(TimePoint now, const ServiceId& service) const;
    std::optional<Candidate> bestLocalServer(TimePoint now, const PlacementQuery& query, const ServerLocation* preferred);
    std::optional<Candidate> bestRemoteRegion(TimePoint now, const PlacementQuery& query, const ServerLocation* preferred);
    Duration baseTime(TimePoint now, const Server& server, const PlacementQuery& query, TokenCount uncachedTokens) const;
    std::optional<Candidate> findTrial(TimePoint now, const PlacementQuery& query, const ServerLocation* preferred, Duration maxWait);
    TokenCount uncachedTokens(const Candidate& candidate, const PlacementQuery& query, const ServerLocation* preferred) const;
    double workOf(const ServiceId& service, TokenCount uncachedTokens) const;
    /// `wait` is how far the wait of the best candidate exceeds the time to the target.
    RefusePlacement refuse(TimePoint now, const PlacementQuery& query, ResultCode code, Duration wait, TokenCount uncachedTokens, std::optional<Duration> expected = std::nullopt);

    RegionId ownRegion_;
    PlacementLimits limits_;
    InstanceId self_;
    std::vector<InstanceId> instances_;
    std::map<BackendServerId, TimePoint> coldServersHeldUntil_;
    std::map<ServiceId, std::set<SoftwareVersion>> listedVersions_;
    /// Kept while a server is not usable for another reason, such as an evacuation.
    std::map<BackendServerId, LeavingServer> leavingServers_;
    TimePoint otherLoadsReceivedAt_ {};
    std::map<BackendServerId, Server> servers_;
    std::map<ServiceId, std::vector<BackendServerId>> byService_;
    std::map<ServiceId, ServiceAffinity> affinities_;
    /// All usable backend servers of a service, in all regions; those of this region come first, in the order of `byService_`.
    std::map<ServiceId, std::vector<ServerLocation>> serverLocations_;
    std::map<RegionId, RegionState> regions_;
    std::map<ServiceId, MeasuredTime> idleTimes_;
    /// Average ratio of the measured to the expected time to the first part, over all backend servers of a service.
    std::map<ServiceId, MeasuredFactor> serviceRatios_;
    std::unordered_map<std::uint64_t, PlacedRequest> placedRequests_;
    std::uint64_t lastPlacementId_ { 0 };
    std::vector<PendingRestart> restarts_;
    RetrySchedule retries_;
    /// Measured engine time per prompt token.
    std::map<ServiceId, MeasuredFactor> millisecondsPerToken_;
};

} // namespace Ibisturn
