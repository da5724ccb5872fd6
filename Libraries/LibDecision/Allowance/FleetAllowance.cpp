#include <LibDecision/Allowance/FleetAllowance.h>

#include <algorithm>
#include <cmath>

namespace Ibisturn {

namespace {

/// Demands below this many tokens per second are not reported.
constexpr double minReportedDemand = 1;
constexpr std::int64_t slotsPerWindow = 16;
/// The fraction of a request, or of the burst if that is less, that a new process must have accumulated to admit the request.
constexpr double minAccumulatedShare = 0.25;
constexpr Duration minRetryAfter = std::chrono::milliseconds(100);

double seconds(Duration duration)
{
    return std::chrono::duration<double>(duration).count();
}

} // namespace

FleetAllowance::FleetAllowance(FleetAllowanceLimits limits, std::optional<TimePoint> startedAt, std::uint64_t seed)
    : limits_(limits)
    , startedAt_(startedAt)
    , random_(static_cast<std::minstd_rand::result_type>(seed ^ (seed >> 32)))
{
}

void FleetAllowance::setInstanceCount(std::size_t count)
{
    instances_ = std::max(instances_, count);
}

void FleetAllowance::onDemandReport(TimePoint now, const DemandSourceId& from, const std::vector<AllowanceDemand>& demands, std::optional<Duration> timeSinceOwnReport,
    Duration uptime, std::size_t instances)
{
    auto& peer = peers_[from];
    peer.lastReceivedAt = now;
    if (timeSinceOwnReport)
        peer.lastAcknowledgedAt = now - *timeSinceOwnReport;
    peer.uptime = uptime;
    peer.instances = instances;
    peer.demands.clear();
    for (const auto& demand : demands)
        peer.demands[demand.workspace] = demand;
}

void FleetAllowance::retainSources(const std::set<DemandSourceId>& sources)
{
    std::erase_if(peers_, [&sources](const auto& entry) { return !sources.contains(entry.first); });
}

std::optional<Duration> FleetAllowance::timeSinceReport(TimePoint now, const DemandSourceId& source) const
{
    const auto found = peers_.find(source);
    if (found == peers_.end())
        return std::nullopt;
    return now - found->second.lastReceivedAt;
}

std::optional<Duration> FleetAllowance::take(TimePoint now, const WorkspaceId& workspace, const TokenRateLimit& limit, TokenCount tokens)
{
    if (limit.rate.count() <= 0)
        return std::nullopt;
    auto& share = shares_[workspace];
    const auto amount = static_cast<double>(tokens.count());
    const auto earlierDemand = demandOf(share, now);
    const auto earlierRate = shareRate(sharingOf(now, workspace, earlierDemand, limit.rate.count()), earlierDemand);
    share.demand = earlierDemand + amount / seconds(limits_.demandTimeConstant);
    share.demandUpdatedAt = now;
    const auto sharing = sharingOf(now, workspace, share.demand, limit.rate.count());
    const auto rate = shareRate(sharing, share.demand);
    // The share grew at the rate before this request, which raises the demand to a peak.
    // Tokens are assumed used unless known otherwise, so a new process starts with none.
    const auto since = share.updatedAt == TimePoint {} ? startedAt_.value_or(now) : share.updatedAt;
    const auto elapsed = std::min(seconds(now - since), seconds(limits_.window));
    share.updatedAt = now;
    share.level = std::min(burstOf(limit, rate), share.level + earlierRate * elapsed);
    // The previous process may have overdrawn its share in the same window, so this one must not overdraw again.
    const auto needed = uptime(now) < limits_.window ? std::min(amount, burstOf(limit, earlierRate)) * minAccumulatedShare : 0;
    const bool isCovered = share.level > needed && amount <= share.level + maxDebtOf(limit, rate);
    if (isCovered || (isUsageWellBelowLimit(now, workspace, limit, amount) && isSelected(sharing))) {
        share.level -= amount;
        recordUse(share, now, amount);
        return std::nullopt;
    }
    const auto wait = std::chrono::duration_cast<Duration>(std::chrono::duration<double>(-share.level / std::max(rate, 1.0)));
    return std::max(wait, minRetryAfter);
}

void FleetAllowance::refund(TimePoint now, const WorkspaceId& workspace, TokenCount tokens)
{
    const auto found = shares_.find(workspace);
    if (found == shares_.end())
        return;
    found->second.level += static_cast<double>(tokens.count());
    recordUse(found->second, now, -static_cast<double>(tokens.count()));
}

std::vector<AllowanceDemand> FleetAllowance::demands(TimePoint now) const
{
    std::vector<AllowanceDemand> demands;
    for (const auto& [workspace, share] : shares_) {
        const auto demand = demandOf(share, now);
        const auto used = usedTokens(share, now);
        if (demand >= minReportedDemand || used > 0)
            demands.push_back({ workspace, TokensPerSecond(demand), TokenCount(static_cast<std::int64_t>(used)) });
    }
    return demands;
}

double FleetAllowance::demandOf(const Share& share, TimePoint now) const
{
    return share.demand * std::exp(-seconds(now - share.demandUpdatedAt) / seconds(limits_.demandTimeConstant));
}

bool FleetAllowance::isMutuallyReachable(const Peer& peer, TimePoint now) const
{
    return now - peer.lastReceivedAt <= limits_.reportTimeout && now - peer.lastAcknowledgedAt <= limits_.reportTimeout;
}

FleetAllowance::Sharing FleetAllowance::sharingOf(TimePoint now, const WorkspaceId& workspace, double ownDemand, double totalRate) const
{
    Sharing sharing;
    sharing.demand = ownDemand;
    for (const auto& [id, peer] : peers_) {
        if (!isMutuallyReachable(peer, now))
            continue;
        sharing.participants += peer.instances;
        const auto found = peer.demands.find(workspace);
        if (found != peer.demands.end())
            sharing.demand += found->second.demand.count();
    }
    sharing.budget = totalRate * static_cast<double>(std::min(sharing.participants, instances_)) / static_cast<double>(instances_);
    return sharing;
}

double FleetAllowance::shareRate(const Sharing& sharing, double ownDemand)
{
    if (sharing.demand > sharing.budget)
        return sharing.budget * ownDemand / sharing.demand;
    return ownDemand + (sharing.budget - sharing.demand) / static_cast<double>(sharing.participants);
}

bool FleetAllowance::isSelected(const Sharing& sharing)
{
    const auto threshold = sharing.budget * limits_.selectionThreshold;
    return sharing.demand <= threshold || std::uniform_real_distribution<>(0, sharing.demand)(random_) < threshold;
}

double FleetAllowance::permittedTokens(const TokenRateLimit& limit) const
{
    const auto allowance = limit.rate.count() * seconds(limits_.window) + static_cast<double>(limit.burst.count());
    return allowance * (1 + limits_.tolerance) + static_cast<double>(limits_.slack.count());
}

double FleetAllowance::tokensAboveRate(const TokenRateLimit& limit) const
{
    return permittedTokens(limit) - limit.rate.count() * seconds(limits_.window);
}

bool FleetAllowance::isUsageWellBelowLimit(TimePoint now, const WorkspaceId& workspace, const TokenRateLimit& limit, double amount) const
{
    if (uptime(now) < limits_.window)
        return false;
    std::size_t known = 1;
    double used = usedTokens(shares_.at(workspace), now) + amount;
    for (const auto& [id, peer] : peers_) {
        if (!isMutuallyReachable(peer, now) || peer.uptime < limits_.window)
            continue;
        known += peer.instances;
        const auto found = peer.demands.find(workspace);
        if (found != peer.demands.end())
            used += static_cast<double>(found->second.used.count());
    }
    const auto part = static_cast<double>(std::min(known, instances_)) / static_cast<double>(instances_);
    return used <= permittedTokens(limit) * limits_.visibleUsageShare * part;
}

std::int64_t FleetAllowance::slotOf(TimePoint now) const
{
    return now.time_since_epoch() / (limits_.window / slotsPerWindow);
}

double FleetAllowance::usedTokens(const Share& share, TimePoint now) const
{
    double used = 0;
    for (auto slot = share.used.lower_bound(slotOf(now) - slotsPerWindow); slot != share.used.end(); ++slot)
        used += slot->second;
    return std::max(0.0, used);
}

void FleetAllowance::recordUse(Share& share, TimePoint now, double amount) const
{
    const auto slot = slotOf(now);
    share.used[slot] += amount;
    share.used.erase(share.used.begin(), share.used.lower_bound(slot - slotsPerWindow));
}

// This instance's part of what a window permits beyond the rate. The parts of all instances add up to one.
double FleetAllowance::partOf(const TokenRateLimit& limit, double rate) const
{
    return std::min(1.0, std::max(rate / limit.rate.count(), 1.0 / static_cast<double>(instances_)));
}

double FleetAllowance::burstOf(const TokenRateLimit& limit, double rate) const
{
    return tokensAboveRate(limit) * limits_.burstShare * partOf(limit, rate);
}

// How far a request may exceed the level.
double FleetAllowance::maxDebtOf(const TokenRateLimit& limit, double rate) const
{
    return tokensAboveRate(limit) * (1 - limits_.burstShare) * partOf(limit, rate);
}

} // namespace Ibisturn
