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

FleetAllowance::FleetAllowance(FleetAllowanceLimits limits, std::optional<TimePoint> startedAt)
    : limits_(limits)
    , startedAt_(startedAt)
{
}

void FleetAllowance::setInstanceCount(std::size_t count)
{
    instances_ = std::max(instances_, count);
}

void FleetAllowance::onDemandReport(TimePoint now, const InstanceId& from, const std::vector<AllowanceDemand>& demands, std::optional<Duration> timeSinceOwnReport,
    Duration uptime)
{
    auto& peer = peers_[from];
    peer.lastReceivedAt = now;
    if (timeSinceOwnReport)
        peer.lastAcknowledgedAt = now - *timeSinceOwnReport;
    peer.uptime = uptime;
    peer.demands.clear();
    for (const auto& demand : demands)
        peer.demands[demand.workspace] = demand;
}

std::optional<Duration> FleetAllowance::timeSinceReport(TimePoint now, const InstanceId& instance) const
{
    const auto found = peers_.find(instance);
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
    share.demand = demandOf(share, now) + amount / seconds(limits_.demandTimeConstant);
    share.demandUpdatedAt = now;
    const auto rate = shareRate(now, workspace, share.demand, limit.rate.count());
    // Tokens are assumed used unless known otherwise, so a new process starts with none.
    const auto since = share.updatedAt == TimePoint {} ? startedAt_.value_or(now) : share.updatedAt;
    const auto elapsed = std::min(seconds(now - since), seconds(limits_.window));
    share.updatedAt = now;
    share.level = std::min(burstOf(limit, rate), share.level + rate * elapsed);
    // The previous process may have overdrawn its share in the same window, so this one must not overdraw again.
    const auto needed = uptime(now) < limits_.window ? std::min(amount, burstOf(limit, rate)) * minAccumulatedShare : 0;
    if (share.level > needed || isUsageWellBelowLimit(now, workspace, limit, amount)) {
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

double FleetAllowance::shareRate(TimePoint now, const WorkspaceId& workspace, double ownDemand, double totalRate) const
{
    double total = ownDemand;
    std::size_t participants = 1;
    for (const auto& [id, peer] : peers_) {
        if (!isMutuallyReachable(peer, now))
            continue;
        ++participants;
        const auto found = peer.demands.find(workspace);
        if (found != peer.demands.end())
            total += found->second.demand.count();
    }
    const auto budget = totalRate * static_cast<double>(std::min(participants, instances_)) / static_cast<double>(instances_);
    if (total > budget)
        return budget * ownDemand / total;
    return ownDemand + (budget - total) / static_cast<double>(participants);
}

double FleetAllowance::permittedTokens(const TokenRateLimit& limit) const
{
    const auto allowance = limit.rate.count() * seconds(limits_.window) + static_cast<double>(limit.burst.count());
    return allowance * (1 + limits_.tolerance) + static_cast<double>(limits_.slack.count());
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
        ++known;
        const auto found = peer.demands.find(workspace);
        if (found != peer.demands.end())
            used += static_cast<double>(found->second.used.count());
    }
    return known >= instances_ && used <= permittedTokens(limit) * limits_.fullVisibilityShare;
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

// The sum of the bursts of all instances stays within what a window permits beyond the rate.
double FleetAllowance::burstOf(const TokenRateLimit& limit, double rate) const
{
    const auto aboveRate = permittedTokens(limit) - limit.rate.count() * seconds(limits_.window);
    const auto part = std::min(1.0, std::max(rate / limit.rate.count(), 1.0 / static_cast<double>(instances_)));
    return aboveRate * limits_.burstShare * part;
}

} // namespace Ibisturn
