#pragma once

#include <LibDecision/Routing/BackendPool.h>

#include <optional>

namespace Ibisturn {

/// The properties of a request that a strategy may use to choose a backend server.
struct PoolQuery {
    /// Distributes otherwise identical requests.
    std::uint64_t requestHash { 0 };
    /// Hash of the workspace and the prompt's prefix, so that workspaces never share prefix cache entries.
    std::uint64_t prefixHash { 0 };
    CapacityClass capacityClass { CapacityClass::Ordinary };
};

/// Chooses a backend server of a pool. Strategies are interchangeable.
/// Thread safety: one thread at a time.
class PoolStrategy {
public:
    virtual ~PoolStrategy() = default;

    /// A backend server that has capacity; nullopt if none has.
    virtual std::optional<BackendPool::Index> choose(const BackendPool& pool, const PoolQuery& query) = 0;
};

/// Starts at a position given by the request's hash.
class RandomStrategy final : public PoolStrategy {
public:
    std::optional<BackendPool::Index> choose(const BackendPool& pool, const PoolQuery& query) override;
};

/// Takes the backend servers in turn.
class RoundRobinStrategy final : public PoolStrategy {
public:
    std::optional<BackendPool::Index> choose(const BackendPool& pool, const PoolQuery& query) override;

private:
    std::size_t next_ { 0 };
};

/// Chooses the backend server with the lowest load in its last report, without correction.
class LeastReportedStrategy final : public PoolStrategy {
public:
    std::optional<BackendPool::Index> choose(const BackendPool& pool, const PoolQuery& query) override;
};

/// Chooses the backend server with the lowest load, corrected by the requests sent since its last report.
class LeastLoadedStrategy final : public PoolStrategy {
public:
    std::optional<BackendPool::Index> choose(const BackendPool& pool, const PoolQuery& query) override;
};

/// Consistent hashing with bounded loads: chooses the owner of the prompt's prefix on the ring, or the next backend server
/// whose load is within the bound. This uses prefix caches without overloading a backend server.
class PrefixAffinityStrategy final : public PoolStrategy {
public:
    /// A backend server may be chosen from the ring up to about `loadFactor` times the mean load.
    explicit PrefixAffinityStrategy(double loadFactor);

    std::optional<BackendPool::Index> choose(const BackendPool& pool, const PoolQuery& query) override;

private:
    double loadFactor_;
};

} // namespace Ibisturn
