#pragma once

#include <LibConfiguration/Settings.h>
#include <LibConfiguration/Snapshot.h>
#include <LibCore/Metrics.h>
#include <LibCore/SharedValue.h>
#include <LibCore/SteadyClock.h>
#include <LibDecision/Allowance/FleetAllowance.h>
#include <LibDecision/Membership/MembershipView.h>
#include <LibDecision/Requests/FleetRetryBudget.h>
#include <LibHTTP/Backends/AdmissionBoard.h>
#include <LibHTTP/Backends/BackendDialect.h>
#include <LibHTTP/Backends/HealthBoard.h>
#include <LibHTTP/Backends/LoadTable.h>
#include <LibHTTP/Backends/PlacementBoard.h>
#include <LibHTTP/Operators/Tracer.h>
#include <LibHTTP/Peers/PeerReachTable.h>

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

/// What all workers of one instance share. Tables lock in the order of LockLevel.
/// Thread safety: each member as its type says.
struct InstanceTables {
    explicit InstanceTables(Settings instanceSettings, Tracer::Destination spans = nullptr)
        : settings(std::move(instanceSettings))
        , admission(settings.identity)
        , placement(settings.identity.region)
        , serviceRetries(settings.fleet ? retryLimitsOf(*settings.fleet) : FleetRetryLimits {})
        , allowance(settings.fleet ? allowanceLimitsOf(*settings.fleet) : FleetAllowanceLimits {}, SteadyClock().now())
        , tracer(settings.identity.instance.value(), std::move(spans))
    {
    }

    const Settings settings;
    SharedValue<Snapshot> configuration { LockLevel::Configuration };
    SharedValue<MembershipView> membership { LockLevel::Membership };
    AdmissionBoard admission;
    PlacementBoard placement;
    /// Of requests on routes with terms. Used by one worker.
    FleetRetryBudget serviceRetries;
    /// Of requests on routes with terms. Used by one worker.
    FleetAllowance allowance;
    const BackendDialect* backendDialect { &openAiBackendDialect() };
    LoadTable load;
    HealthBoard health;
    PeerReachTable peerReach;
    Metrics metrics;
    Tracer tracer;
    /// Of callers on routes with terms. Used by one worker.
    CallerLimits callerLimits;
    /// Since when the store has not answered; nothing while it does. Used by one worker.
    std::optional<TimePoint> storeAwaySince;
    /// Set once the instance refuses new requests.
    std::atomic<bool> isDraining { false };
    /// Set once a draining instance refuses what callers still send on connections that they keep.
    std::atomic<bool> isRefusing { false };
    /// Requests from callers and peers that are under way.
    std::atomic<std::uint64_t> requestsUnderWay { 0 };
};

} // namespace Ibisturn
