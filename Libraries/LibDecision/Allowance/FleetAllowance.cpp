#include <LibDecision/Allowance/FleetAllowance.h>

#include <algorithm>
#include <cmath>

namespace Ibisturn {

namespace {

/// Demands below this many tokens per second are not reported.
constexpr double leastDemand = 1;
constexpr std::int64_t slotsPerWindow = 16;
/// The fraction of a request, or of the burst, that a new process must have accumulated before admitting it.
constexpr double debtlessShare = 0.25;
constexpr Duration leastRetryAfter = std::chrono::milliseconds(100);

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

void FleetAllowance::setInstances(std::size_t count)
{
    instances_ = std::max(instances_, count);
}

void FleetAllowance::onDemands(TimePoint now, const InstanceId& from, const std::vector<AllowanceDemand>& demands, std::optional<Duration> heardAgo,
    Duration runsFor)
{
    auto& peer = peers_[from];
    peer.heardAt = now;
    if (heardAgo)
        peer.heardUsAt = now - *heardAgo;
    peer.ranFor = runsFor;
    peer.demands.clear();
    for (const auto& demand : demands)
        peer.demands[demand.workspace] = demand;
}

std::optional<Duration> FleetAllowance::heardAgo(TimePoint now, const InstanceId& instance) const
{
    const auto found = peers_.find(instance);
    if (found == peers_.end())
        return std::nullopt;
    return now - found->second.heardAt;
}

std::optional<Duration> FleetAllowance::take(TimePoint now, const WorkspaceId& workspace, const AllowanceTerms& terms, TokenCount tokens)
{
    if (terms.rate.count() <= 0)
        return std::nullopt;
    auto& share = shares_[workspace];
    const auto amount = static_cast<double>(tokens.count());
    share.demand = demandOf(share, now) + amount / seconds(limits_.memory);
    share.demandUpdated = now;
    const auto rate = rateOf(now, workspace, share.demand, terms.rate.count());
    // Tokens are assumed used unless known otherwise, so a new process starts with none.
    const auto since = share.updated == TimePoint {} ? startedAt_.value_or(now) : share.updated;
    const auto elapsed = std::min(seconds(now - since), seconds(limits_.window));
    share.updated = now;
    share.level = std::min(burstOf(terms, rate), share.level + rate * elapsed);
    // The previous process may have overdrawn its share in the same window, so this one must not overdraw again.
    const auto needed = runsFor(now) < limits_.window ? std::min(amount, burstOf(terms, rate)) * debtlessShare : 0;
    if (share.level > needed || isKnownFarFromBound(now, workspace, terms, amount)) {
        share.level -= amount;
        noteUse(share, now, amount);
        return std::nullopt;
    }
    const auto wait = std::chrono::duration_cast<Duration>(std::chrono::duration<double>(-share.level / std::max(rate, 1.0)));
    return std::max(wait, leastRetryAfter);
}

void FleetAllowance::giveBack(TimePoint now, const WorkspaceId& workspace, TokenCount tokens)
{
    const auto found = shares_.find(workspace);
    if (found == shares_.end())
        return;
    found->second.level += static_cast<double>(tokens.count());
    noteUse(found->second, now, -static_cast<double>(tokens.count()));
}

std::vector<AllowanceDemand> FleetAllowance::demands(TimePoint now) const
{
    std::vector<AllowanceDemand> demands;
    for (const auto& [workspace, share] : shares_) {
        const auto demand = demandOf(share, now);
        const auto used = usedBy(share, now);
        if (demand >= leastDemand || used > 0)
            demands.push_back({ workspace, TokensPerSecond(demand), TokenCount(static_cast<std::int64_t>(used)) });
    }
    return demands;
}

double FleetAllowance::demandOf(const Share& share, TimePoint now) const
{
    return share.demand * std::exp(-seconds(now - share.demandUpdated) / seconds(limits_.memory));
}

bool FleetAllowance::isMutual(const Peer& peer, TimePoint now) const
{
    return now - peer.heardAt <= limits_.silence && now - peer.heardUsAt <= limits_.silence;
}

double FleetAllowance::rateOf(TimePoint now, const WorkspaceId& workspace, double own, double whole) const
{
    double total = own;
    std::size_t sharers = 1;
    for (const auto& [id, peer] : peers_) {
        if (!isMutual(peer, now))
            continue;
        ++sharers;
        const auto found = peer.demands.find(workspace);
        if (found != peer.demands.end())
            total += found->second.demand.count();
    }
    const auto budget = whole * static_cast<double>(std::min(sharers, instances_)) / static_cast<double>(instances_);
    if (total > budget)
        return budget * own / total;
    return own + (budget - total) / static_cast<double>(sharers);
}

double FleetAllowance::permittedOf(const AllowanceTerms& terms) const
{
    const auto whole = terms.rate.count() * seconds(limits_.window) + static_cast<double>(terms.burst.count());
    return whole * (1 + limits_.tolerance) + static_cast<double>(limits_.slack.count());
}

bool FleetAllowance::isKnownFarFromBound(TimePoint now, const WorkspaceId& workspace, const AllowanceTerms& terms, double amount) const
{
    if (runsFor(now) < limits_.window)
        return false;
    std::size_t known = 1;
    double used = usedBy(shares_.at(workspace), now) + amount;
    for (const auto& [id, peer] : peers_) {
        if (!isMutual(peer, now) || peer.ranFor < limits_.window)
            continue;
        ++known;
        const auto found = peer.demands.find(workspace);
        if (found != peer.demands.end())
            used += static_cast<double>(found->second.used.count());
    }
    return known >= instances_ && used <= permittedOf(terms) * limits_.knownShare;
}

std::int64_t FleetAllowance::slotOf(TimePoint now) const
{
    return now.time_since_epoch() / (limits_.window / slotsPerWindow);
}

double FleetAllowance::usedBy(const Share& share, TimePoint now) const
{
    double used = 0;
    for (auto slot = share.used.lower_bound(slotOf(now) - slotsPerWindow); slot != share.used.end(); ++slot)
        used += slot->second;
    return std::max(0.0, used);
}

void FleetAllowance::noteUse(Share& share, TimePoint now, double amount) const
{
    const auto slot = slotOf(now);
    share.used[slot] += amount;
    share.used.erase(share.used.begin(), share.used.lower_bound(slot - slotsPerWindow));
}

// The sum of the bursts of all instances stays within what a window permits beyond the rate.
double FleetAllowance::burstOf(const AllowanceTerms& terms, double rate) const
{
    const auto beyond = permittedOf(terms) - terms.rate.count() * seconds(limits_.window);
    const auto part = std::min(1.0, std::max(rate / terms.rate.count(), 1.0 / static_cast<double>(instances_)));
    return beyond * limits_.burstShare * part;
}

} // namespace Ibisturn
