#pragma once

#include <LibCore/Clock.h>
#include <LibCore/Identifier.h>
#include <LibCore/Quantity.h>

#include <map>
#include <optional>
#include <random>
#include <set>
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

/// An instance, or a group of instances, that demands are reported of.
using DemandSourceId = Identifier<struct DemandSourceTag>;

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
    /// The usage of all reachable instances, each of which has run for a whole window, may reach this fraction of their part
    /// of what a window permits; the rest covers what is used before the others receive reports of it.
    double visibleUsageShare { 0.7 };
    /// If callers request more than this multiple of the rate, only a random selection of the requests that are larger than
    /// the share is admitted.
    double selectionThreshold { 2 };
};

/// An instance's part of the workspaces' allowances. Instances that reach each other share by demand. Each side of a
/// network partition uses the even shares of its own instances, which the other side leaves unused, so the total stays
/// within the allowance without coordination. A request larger than the share is admitted as long as the usage of all
/// instances that are reachable is well below their part of the limit; if callers request more than the rate, only a random
/// selection of these requests is, since instances learn of each other's usage late.
/// Thread safety: one thread at a time.
class FleetAllowance {
public:
    /// Tokens accumulate from `startedAt`, the start of this process; the usage of an earlier process is not known.
    /// `seed` must differ between instances.
    explicit FleetAllowance(FleetAllowanceLimits limits = {}, std::optional<TimePoint> startedAt = std::nullopt, std::uint64_t seed = 0);

    /// Changes the limits; recorded usage is kept.
    void setLimits(FleetAllowanceLimits limits) { limits_ = limits; }

    /// Sets the number of instances, reachable or not. Within a process it never decreases.
    void setInstanceCount(std::size_t count);

    /// Handles a report on other instances that was received at `now`: their demands, and how long ago they last received
    /// a report from this one (`timeSinceOwnReport`; nullopt if never). `uptime` is the shortest uptime of their processes,
    /// `instances` their number. A later report from the same source replaces it.
    void onDemandReport(TimePoint now, const DemandSourceId& from, const std::vector<AllowanceDemand>& demands, std::optional<Duration> timeSinceOwnReport, Duration uptime,
        std::size_t instances = 1);

    /// Forgets the reports of all sources but these.
    void retainSources(const std::set<DemandSourceId>& sources);

    /// The uptime of this process.
    Duration uptime(TimePoint now) const { return startedAt_ ? now - *startedAt_ : Duration::zero(); }

    /// How long ago a report from `source` was received; nullopt if never.
    std::optional<Duration> timeSinceReport(TimePoint now, const DemandSourceId& source) const;

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
        std::size_t instances { 1 };
        std::map<WorkspaceId, AllowanceDemand> demands;
    };

    double demandOf(const Share& share, TimePoint now) const;
    bool isMutuallyReachable(const Peer& peer, TimePoint now) const;
    /// The instances that share with this one, including it, and what their callers request.
    struct Sharing {
        std::size_t participants { 1 };
        double demand { 0 };
        /// The part of the rate that belongs to them.
        double budget { 0 };
    };

    Sharing sharingOf(TimePoint now, const WorkspaceId& workspace, double ownDemand, double totalRate) const;
    static double shareRate(const Sharing& sharing, double ownDemand);
    double permittedTokens(const TokenRateLimit& limit) const;
    double tokensAboveRate(const TokenRateLimit& limit) const;
    bool isUsageWellBelowLimit(TimePoint now, const WorkspaceId& workspace, const TokenRateLimit& limit, double amount) const;
    bool isSelected(const Sharing& sharing);
    std::int64_t slotOf(TimePoint now) const;
    double usedTokens(const Share& share, TimePoint now) const;
    void recordUse(Share& share, TimePoint now, double amount) const;
    double partOf(const TokenRateLimit& limit, double rate) const;
    double burstOf(const TokenRateLimit& limit, double rate) const;
    double maxDebtOf(const TokenRateLimit& limit, double rate) const;

    FleetAllowanceLimits limits_;
    std::optional<TimePoint> startedAt_;
    std::size_t instances_ { 1 };
    std::minstd_rand random_;
    std::map<WorkspaceId, Share> shares_;
    std::map<DemandSourceId, Peer> peers_;
};

} // namespace Ibisturn
