#pragma once

#include <LibCore/Clock.h>
#include <LibCore/Identifier.h>
#include <LibCore/Quantity.h>

#include <map>
#include <optional>
#include <string>
#include <vector>

namespace Ibisturn {

/// What a workspace may use over all instances.
struct AllowanceTerms {
    TokensPerSecond rate;
    TokenCount burst;
};

/// What one instance's callers ask for on behalf of a workspace.
struct AllowanceDemand {
    WorkspaceId workspace;
    TokensPerSecond demand;
    /// What it used in the last window.
    TokenCount used;
};

/// How a FleetAllowance shares.
struct FleetAllowanceLimits {
    /// The window in which the allowance is checked.
    Duration window { std::chrono::seconds(10) };
    /// What the sum may exceed the allowance by in a window: a share of it, and tokens.
    double tolerance { 0 };
    TokenCount slack;
    /// An instance that was not heard for this long, or has not heard this one, is taken to use its even share.
    Duration silence { std::chrono::milliseconds(1200) };
    /// The span over which demand is averaged.
    Duration memory { std::chrono::seconds(2) };
    /// The part of what may be used beyond the rate that is given away as bursts; the rest covers what instances use
    /// before they hear of each other, and requests that are larger than what is left.
    double burstShare { 0.4 };
    /// While every instance is heard and knows its own last window, what is used may grow up to this part of what a
    /// window permits, wherever callers ask for it; the rest covers what is used before instances hear of it.
    double knownShare { 0.7 };
};

/// An instance's part of the workspaces' allowances. Instances that hear each other share by demand; each side of a cut
/// has the even shares of its own instances, which nobody else uses meanwhile. So the sum holds without asking anyone.
/// While all are heard, a request that is larger than the share is not refused as long as the fleet is far from its bound.
/// Thread safety: one thread at a time.
class FleetAllowance {
public:
    /// A process that uses it since `startedAt` earns from then on; what an earlier one used is not known.
    explicit FleetAllowance(FleetAllowanceLimits limits = {}, std::optional<TimePoint> startedAt = std::nullopt);

    /// Changes the limits; what was used stays used.
    void setLimits(FleetAllowanceLimits limits) { limits_ = limits; }

    /// Sets how many instances there are, whether or not they can be heard. Never smaller than before within a process.
    void setInstances(std::size_t count);

    /// An instance told its demands, and that it last heard this one `heardAgo` before, or never.
    /// `runsFor` is how long its process has run.
    void onDemands(TimePoint now, const InstanceId& from, const std::vector<AllowanceDemand>& demands, std::optional<Duration> heardAgo, Duration runsFor);

    /// How long this process has run.
    Duration runsFor(TimePoint now) const { return startedAt_ ? now - *startedAt_ : Duration::zero(); }

    /// How long ago `instance` was heard; nothing if never.
    std::optional<Duration> heardAgo(TimePoint now, const InstanceId& instance) const;

    /// Takes `tokens` for a request; nothing if they were taken, or when it is worth coming back.
    std::optional<Duration> take(TimePoint now, const WorkspaceId& workspace, const AllowanceTerms& terms, TokenCount tokens);

    /// Gives back what was taken for a request that has not run.
    void giveBack(TimePoint now, const WorkspaceId& workspace, TokenCount tokens);

    /// What this instance's callers ask for, of all workspaces that ask for anything.
    std::vector<AllowanceDemand> demands(TimePoint now) const;

private:
    struct Share {
        /// Tokens that may be used now; negative after a request that was larger.
        double level { 0 };
        TimePoint updated {};
        double demand { 0 };
        TimePoint demandUpdated {};
        /// What was used, in slots of the window.
        std::map<std::int64_t, double> used;
    };

    struct Peer {
        TimePoint heardAt {};
        TimePoint heardUsAt {};
        Duration ranFor {};
        std::map<WorkspaceId, AllowanceDemand> demands;
    };

    double demandOf(const Share& share, TimePoint now) const;
    bool isMutual(const Peer& peer, TimePoint now) const;
    double rateOf(TimePoint now, const WorkspaceId& workspace, double own, double whole) const;
    double permittedOf(const AllowanceTerms& terms) const;
    bool isKnownFarFromBound(TimePoint now, const WorkspaceId& workspace, const AllowanceTerms& terms, double amount) const;
    std::int64_t slotOf(TimePoint now) const;
    double usedBy(const Share& share, TimePoint now) const;
    void noteUse(Share& share, TimePoint now, double amount) const;
    double burstOf(const AllowanceTerms& terms, double rate) const;

    FleetAllowanceLimits limits_;
    std::optional<TimePoint> startedAt_;
    std::size_t instances_ { 1 };
    std::map<WorkspaceId, Share> shares_;
    std::map<InstanceId, Peer> peers_;
};

} // namespace Ibisturn
