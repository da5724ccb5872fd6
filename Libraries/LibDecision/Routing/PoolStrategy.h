#pragma once

#include <LibDecision/Routing/BackendPool.h>

#include <optional>

namespace Ibisturn {

/// What a choice among backend servers may look at of a request.
struct PoolQuery {
    /// Spreads requests that are otherwise alike.
    std::uint64_t requestHash { 0 };
    /// Hash of the workspace and of the prompt's beginning, so that prefix caches of two workspaces never meet.
    std::uint64_t prefixHash { 0 };
    RoomClass room { RoomClass::Ordinary };
};

/// Chooses a backend server of a pool. Strategies are interchangeable.
/// Thread safety: one thread at a time.
class PoolStrategy {
public:
    virtual ~PoolStrategy() = default;

    /// A backend server that has room; nothing if none has.
    virtual std::optional<BackendPool::Index> choose(const BackendPool& pool, const PoolQuery& query) = 0;
};

/// Any backend server, by the request's hash.
class RandomStrategy final : public PoolStrategy {
public:
    std::optional<BackendPool::Index> choose(const BackendPool& pool, const PoolQuery& query) override;
};

/// One after the other.
class RoundRobinStrategy final : public PoolStrategy {
public:
    std::optional<BackendPool::Index> choose(const BackendPool& pool, const PoolQuery& query) override;

private:
    std::size_t next_ { 0 };
};

/// The one whose last report showed the least load, without correction.
class LeastReportedStrategy final : public PoolStrategy {
public:
    std::optional<BackendPool::Index> choose(const BackendPool& pool, const PoolQuery& query) override;
};

/// The one with the least load, corrected by what was sent since its report.
class LeastLoadedStrategy final : public PoolStrategy {
public:
    std::optional<BackendPool::Index> choose(const BackendPool& pool, const PoolQuery& query) override;
};

/// The owner of the prompt's prefix on a ring, or the next one along it whose load is near the mean;
/// so prefix caches are used while no backend server is overloaded for their sake.
class PrefixAffinityStrategy final : public PoolStrategy {
public:
    /// A load up to `loadFactor` times the mean is accepted for the sake of the cache.
    explicit PrefixAffinityStrategy(double loadFactor);

    std::optional<BackendPool::Index> choose(const BackendPool& pool, const PoolQuery& query) override;

private:
    double loadFactor_;
};

} // namespace Ibisturn
