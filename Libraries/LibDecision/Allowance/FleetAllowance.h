#pragma once

#include <LibCore/Clock.h>
#include <LibCore/Identifier.h>
#include <LibCore/Quantity.h>

#include <map>
#include <optional>
#include <string>
#include <vector>

namespace Ibisturn {

/// The rate and burst of tokens that a workspace may use across all instances.
struct TokenRateLimit {
    TokensPerSecond rate;
    TokenCount burst;
};

/// The demand of one instance's callers on behalf of a workspace.
struct AllowanceDemand {
    WorkspaceId workspace;
    TokensPerSecond demand;
    /// Tokens used in the last window.
    TokenCount used;
};

/// Parameters of FleetAllowance.
struct FleetAllowanceLimits {
    /// The window over which the allowance is enforced.
    Duration window { std::chrono::seconds(10) };
    /// How far the total may exceed the allowance in a window: a fraction of it, plus a number of tokens.
    double tolerance { 0 };
    TokenCount slack;
    /// An instance from which no report was received for this long, or which received none from this one, is assumed to
    /// use its even share.
    Duration reportTimeout { std::chrono::milliseconds(1200) };
    /// The span over which demand is averaged.
    Duration demandTimeConstant { std::chrono::seconds(2) };
    /// The fraction of what may be used beyond the rate that is allotted as bursts; the rest covers what instances use
    /// before they receive each other's reports, and requests that are larger than the remaining tokens.
    double burstShare { 0.4 };
    /// While reports arrive from every instance and each has run for a whole window, usage may reach this fraction of what
    /// a window permits, at any instance; the rest covers what is used before the other instances receive reports of it.
    double fullVisibilityShare { 0.7 };
};

/// An instance's part of the workspaces' allowances. Instances that reach each other share by demand. Each side of a
/// network partition uses the even shares of its own instances, which the other side leaves unused, so the total stays
/// within the allowance without coordination. While all instances are reachable, a request larger than the share is
/// admitted as long as the usage of the fleet is well below its limit.
/// Thread safety: one thread at a time.
class FleetAllowance {
public:
    /// Tokens accumulate from `startedAt`, the start of this process; the usage of an earlier process is not known.
    explicit FleetAllowance(FleetAllowanceLimits limits = {}, std::optional<TimePoint> startedAt = std::nullopt);

    /// Changes the limits; recorded usage is kept.
    void setLimits(FleetAllowanceLimits limits) { limits_ = limits; }

    /// Sets the number of instances, reachable or not. Within a process it never decreases.
    void setInstanceCount(std::size_t count);

    /// Handles a report from an instance: its demands, and how long ago it last received a report from this one
    /// (`timeSinceOwnReport`; nullopt if never). `uptime` is the uptime of its process.
    void onDemandReport(TimePoint now, const InstanceId& from, const std::vector<AllowanceDemand>& demands, std::optional<Duration> timeSinceOwnReport, Duration uptime);

    /// The uptime of this process.
    Duration uptime(TimePoint now) const { return startedAt_ ? now - *startedAt_ : Duration::zero(); }

    /// How long ago a report from `instance` was received; nullopt if never.
    std::optional<Duration> timeSinceReport(TimePoint now, const InstanceId& instance) const;

    /// Takes `tokens` for a request. Returns nullopt if they were taken, otherwise the delay after which to retry.
    std::optional<Duration> take(TimePoint now, const WorkspaceId& workspace, const TokenRateLimit& limit, TokenCount tokens);

    /// Returns tokens taken for a request that did not run.
    void refund(TimePoint now, const WorkspaceId& workspace, TokenCount tokens);

    /// The demands of this instance's callers, for all workspaces that have any.
    std::vector<AllowanceDemand> demands(TimePoint now) const;

private:
    struct Share {
        /// Tokens available now; negative after a request larger than the level.
        double level { 0 };
        TimePoint updatedAt {};
        double demand { 0 };
        TimePoint demandUpdatedAt {};
        /// Tokens used, by slot of the window.
        std::map<std::int64_t, double> used;
    };

    struct Peer {
        TimePoint lastReceivedAt {};
        TimePoint lastAcknowledgedAt {};
        Duration uptime {};
        std::map<WorkspaceId, AllowanceDemand> demands;
    };

    double demandOf(const Share& share, TimePoint now) const;
    bool isMutuallyReachable(const Peer& peer, TimePoint now) const;
    double shareRate(TimePoint now, const WorkspaceId& workspace, double ownDemand, double totalRate) const;
    double permittedTokens(const TokenRateLimit& limit) const;
    bool isUsageWellBelowLimit(TimePoint now, const WorkspaceId& workspace, const TokenRateLimit& limit, double amount) const;
    std::int64_t slotOf(TimePoint now) const;
    double usedTokens(const Share& share, TimePoint now) const;
    void recordUse(Share& share, TimePoint now, double amount) const;
    double burstOf(const TokenRateLimit& limit, double rate) const;

    FleetAllowanceLimits limits_;
    std::optional<TimePoint> startedAt_;
    std::size_t instances_ { 1 };
    std::map<WorkspaceId, Share> shares_;
    std::map<InstanceId, Peer> peers_;
};

} // namespace Ibisturn
