#include <LibDecision/Routing/BackendPool.h>

#include <LibDecision/Membership/EntryDirectory.h>

#include <algorithm>

namespace Ibisturn {

namespace {

constexpr std::size_t ringPointsPerServer = 16;
/// Share of a backend server's slots reserved for workspaces without running requests.
constexpr double idleReserveShare = 0.125;
/// Share of the slots that an instance leaves free on backend servers for which it is not the primary sender.
constexpr double secondaryShare = 0.25;
constexpr Duration slotsProbePeriod = std::chrono::minutes(5);
constexpr Duration reportLifetime = std::chrono::seconds(10);
/// Maximum number of ring points that a search visits.
constexpr std::size_t maxRingSteps = 64;

} // namespace

BackendPool::BackendPool(const std::vector<BackendServerId>& servers, std::uint32_t initialLimit, std::uint32_t maxLimit)
{
    for (const auto& id : servers) {
        const auto index = servers_.size();
        servers_.push_back({ id, ConcurrencyLimit(initialLimit, maxLimit) });
        byLoad_.insert({ 0, index });
        for (std::size_t point = 0; point < ringPointsPerServer; ++point)
            ring_.push_back({ rendezvousScore(std::to_string(point), id.value()), index });
    }
    std::sort(ring_.begin(), ring_.end());
}

void BackendPool::setPrimary(Index index, bool isPrimary)
{
    update(index, [isPrimary](Server& server) { server.isPrimary = isPrimary; });
}

void BackendPool::report(TimePoint now, Index index, const LoadReport& report)
{
    update(index, [now, &report](Server& server) {
        if (report.takenAt <= server.reportedAt)
            return;
        server.reportedAt = report.takenAt;
        server.reportedRequests = report.requests;
        server.discardUntil(report.takenAt);
        server.limit.report(now, report.waiting);
        server.updateSlots(now, report);
    });
}

void BackendPool::begin(TimePoint now, Index index)
{
    update(index, [now](Server& server) {
        server.discardExpiredReport(now);
        ++server.outstanding;
        server.sentAfterReport.push_back(now);
    });
}

void BackendPool::finish(TimePoint now, Index index, Duration timeToFirstToken, ServiceSignal signal)
{
    update(index, [&](Server& server) {
        server.limit.finish(now, timeToFirstToken, server.outstanding, signal);
        --server.outstanding;
        server.finishedAfterReport.push_back(now);
        server.discardExpiredReport(now);
    });
}

void BackendPool::setAvailable(Index index, bool isAvailable)
{
    update(index, [isAvailable](Server& server) { server.isAvailable = isAvailable; });
}

bool BackendPool::hasCapacity(Index index, CapacityClass capacityClass) const
{
    return servers_.at(index).hasCapacity(capacityClass);
}

double BackendPool::meanLoad() const
{
    return byLoad_.empty() ? 0 : static_cast<double>(totalLoad_) / static_cast<double>(byLoad_.size());
}

std::optional<BackendPool::Index> BackendPool::leastLoaded(CapacityClass capacityClass) const
{
    for (const auto& entry : byLoad_) {
        if (hasCapacity(entry.index, capacityClass))
            return entry.index;
    }
    return std::nullopt;
}

std::optional<BackendPool::Index> BackendPool::firstOnRing(std::uint64_t hash, std::uint32_t maxLoad, CapacityClass capacityClass) const
{
    auto point = std::lower_bound(ring_.begin(), ring_.end(), RingPoint { hash, 0 });
    const auto steps = std::min(ring_.size(), maxRingSteps);
    for (std::size_t step = 0; step < steps; ++step, ++point) {
        if (point == ring_.end())
            point = ring_.begin();
        if (hasCapacity(point->index, capacityClass) && load(point->index) <= maxLoad)
            return point->index;
    }
    return std::nullopt;
}

std::uint32_t BackendPool::Server::load() const
{
    const auto arrived = reportedRequests + sentAfterReport.size();
    const auto estimated = arrived > finishedAfterReport.size() ? arrived - finishedAfterReport.size() : 0;
    return std::max(static_cast<std::uint32_t>(estimated), outstanding);
}

std::uint32_t BackendPool::Server::margin() const
{
    return isPrimary ? 0 : static_cast<std::uint32_t>(slots * secondaryShare);
}

bool BackendPool::Server::hasCapacity(CapacityClass capacityClass) const
{
    if (!isAvailable || outstanding >= limit.limit())
        return false;
    if (slots == 0)
        return true;
    if (capacityClass == CapacityClass::IdleWorkspace)
        return load() + margin() / 2 < slots;
    const auto reserved = std::max<std::uint32_t>(1, static_cast<std::uint32_t>(slots * idleReserveShare));
    return load() + reserved + margin() < slots;
}

void BackendPool::Server::updateSlots(TimePoint now, const LoadReport& report)
{
    const auto running = report.requests - std::min(report.requests, report.waiting);
    const bool isFull = report.waiting > 0;
    if (isFull || (slots > 0 && running > slots)) {
        slots = running;
        slotsUpdatedAt = now;
        return;
    }
    if (slots == 0 || now - slotsUpdatedAt < slotsProbePeriod)
        return;
    // Probe for one more slot, otherwise slots that were added would never be detected.
    ++slots;
    slotsUpdatedAt = now;
}

void BackendPool::Server::discardUntil(TimePoint time)
{
    while (!sentAfterReport.empty() && sentAfterReport.front() <= time)
        sentAfterReport.pop_front();
    while (!finishedAfterReport.empty() && finishedAfterReport.front() <= time)
        finishedAfterReport.pop_front();
}

// Without a current report, only this instance's own requests count.
void BackendPool::Server::discardExpiredReport(TimePoint now)
{
    if (now - reportedAt < reportLifetime)
        return;
    reportedRequests = 0;
    // A report that is still in transit can't be older than this.
    discardUntil(now - reportLifetime);
}

template <typename Change>
void BackendPool::update(Index index, Change change)
{
    auto& server = servers_.at(index);
    if (server.isAvailable) {
        byLoad_.erase({ server.rank(), index });
        totalLoad_ -= server.load();
    }
    change(server);
    if (server.isAvailable) {
        byLoad_.insert({ server.rank(), index });
        totalLoad_ += server.load();
    }
}

} // namespace Ibisturn
