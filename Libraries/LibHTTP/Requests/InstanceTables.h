#pragma once

#include <LibConfiguration/Settings.h>
#include <LibConfiguration/Snapshot.h>
#include <LibCore/Metrics.h>
#include <LibCore/SharedValue.h>
#include <LibCore/SteadyClock.h>
#include <LibDecision/Allowance/FleetAllowance.h>
#include <LibDecision/Membership/MembershipView.h>
#include <LibDecision/Quarantine/PromptQuarantine.h>
#include <LibDecision/Requests/FleetRetryBudget.h>
#include <LibDecision/Routing/RouteDemand.h>
#include <LibDecision/Streams/StreamOrigins.h>
#include <LibDecision/Streams/VersionLedger.h>
#include <LibHTTP/Backends/BackendDialect.h>
#include <LibHTTP/Backends/LoadTable.h>
#include <LibHTTP/Backends/SharedAdmissionControl.h>
#include <LibHTTP/Backends/SharedHealthTable.h>
#include <LibHTTP/Backends/SharedPlacementTable.h>
#include <LibHTTP/Operators/Tracer.h>
#include <LibHTTP/Peers/PeerReachabilityTable.h>
#include <LibHTTP/Requests/RequestMemory.h>

#include <atomic>

namespace Ibisturn {

inline FleetAllowanceLimits allowanceLimitsOf(const FleetSettings& fleet)
{
    FleetAllowanceLimits limits;
    limits.window = fleet.allowanceWindow;
    limits.tolerance = fleet.allowanceTolerance;
    limits.slack = TokenCount(fleet.allowanceSlack);
    return limits;
}

inline FleetRetryLimits retryLimitsOf(const FleetSettings& fleet)
{
    return { fleet.retryRatio, fleet.retryReserve, fleet.retryWindow };
}

/// The state shared by all workers of one instance. Tables are locked in the order of LockLevel.
/// Thread safety: each member as its type says.
struct InstanceTables {
    explicit InstanceTables(Settings instanceSettings, Tracer::Destination spans = nullptr)
        : settings(std::move(instanceSettings))
        , admission(settings.identity)
        , placement(settings.identity.region)
        , serviceRetries(settings.fleet ? retryLimitsOf(*settings.fleet) : FleetRetryLimits {})
        , allowance(settings.fleet ? allowanceLimitsOf(*settings.fleet) : FleetAllowanceLimits {}, SteadyClock().now(), std::hash<std::string> {}(settings.identity.instance.value()))
        , requestMemory(requestMemoryOf(settings), std::hash<std::string> {}(settings.identity.instance.value()))
        , connectionMemory(connectionMemoryOf(settings), std::hash<std::string> {}(settings.identity.instance.value()))
        , tracer(settings.identity.instance.value(), std::move(spans))
    {
    }

    const Settings settings;
    SharedValue<Snapshot> configuration { LockLevel::Configuration };
    SharedValue<MembershipView> membership { LockLevel::Membership };
    SharedAdmissionControl admission;
    SharedPlacementTable placement;
    /// For requests on routes with a policy. Used by one worker.
    FleetRetryBudget serviceRetries;
    /// For requests on routes with a policy. Used by one worker.
    FleetAllowance allowance;
    /// For requests on routes with a policy. Used by one worker.
    PromptQuarantine quarantine;
    /// The requests of callers on routes with a policy, without those that peers forward. Used by one worker.
    RouteDemand routeDemand;
    /// For streams on routes with a policy. Used by one worker.
    StreamOrigins streamOrigins;
    VersionLedger versionLedger;
    const BackendDialect* backendDialect { &openAiBackendDialect() };
    LoadTable load;
    SharedHealthTable health;
    PeerReachabilityTable peerReachability;
    Metrics metrics;
    /// For the bodies of callers on routes with a policy, and of forwarded requests.
    MemoryBudget requestMemory;
    /// For what callers' connections hold besides the bodies: heads, trailers, and bytes that nobody reads.
    MemoryBudget connectionMemory;
    Tracer tracer;
    /// For callers on routes with a policy. Used by one worker.
    CallerLimits callerLimits;
    /// Since when the store has been unavailable; empty while it is available. Used by one worker.
    std::optional<TimePoint> storeUnavailableSince;
    /// Set once the instance refuses new requests.
    std::atomic<bool> isDraining { false };
    /// Set once a draining instance refuses further requests on the connections that callers keep open, also those whose bodies it
    /// was still reading.
    std::atomic<bool> isRefusing { false };
    /// Requests from callers and peers that are in flight.
    std::atomic<std::uint64_t> requestsInFlight { 0 };
};

} // namespace Ibisturn
