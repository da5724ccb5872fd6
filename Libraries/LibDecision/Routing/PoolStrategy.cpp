#include <LibDecision/Routing/PoolStrategy.h>

#include <cmath>

namespace Ibisturn {

namespace {

// The first backend server with capacity, in pool order from `start` on, wrapping around.
std::optional<BackendPool::Index> firstWithCapacity(const BackendPool& pool, std::size_t start, CapacityClass capacityClass)
{
    for (std::size_t step = 0; step < pool.size(); ++step) {
        const auto index = (start + step) % pool.size();
        if (pool.hasCapacity(index, capacityClass))
            return index;
    }
    return std::nullopt;
}

} // namespace

std::optional<BackendPool::Index> RandomStrategy::choose(const BackendPool& pool, const PoolQuery& query)
{
    if (pool.size() == 0)
        return std::nullopt;
    return firstWithCapacity(pool, query.requestHash % pool.size(), query.capacityClass);
}

std::optional<BackendPool::Index> RoundRobinStrategy::choose(const BackendPool& pool, const PoolQuery& query)
{
    return firstWithCapacity(pool, next_++, query.capacityClass);
}

std::optional<BackendPool::Index> LeastReportedStrategy::choose(const BackendPool& pool, const PoolQuery& query)
{
    std::optional<BackendPool::Index> best;
    for (std::size_t step = 0; step < pool.size(); ++step) {
        const auto index = (query.requestHash + step) % pool.size();
        if (pool.hasCapacity(index, query.capacityClass) && (!best || pool.reportedLoad(index) < pool.reportedLoad(*best)))
            best = index;
    }
    return best;
}

std::optional<BackendPool::Index> LeastLoadedStrategy::choose(const BackendPool& pool, const PoolQuery& query)
{
    return pool.leastLoaded(query.capacityClass);
}

PrefixAffinityStrategy::PrefixAffinityStrategy(double loadFactor)
    : loadFactor_(loadFactor)
{
}

std::optional<BackendPool::Index> PrefixAffinityStrategy::choose(const BackendPool& pool, const PoolQuery& query)
{
    const auto bound = static_cast<std::uint32_t>(std::ceil(loadFactor_ * (pool.meanLoad() + 1)));
    const auto owner = pool.firstOnRing(query.prefixHash, bound, query.capacityClass);
    return owner ? owner : pool.leastLoaded(query.capacityClass);
}

} // namespace Ibisturn
