#pragma once

#include <condition_variable>
#include <cstdint>
#include <list>
#include <mutex>
#include <set>
#include <string>
#include <utility>

namespace Ibisturn::StandIns {

/// Allocates the slots of an engine's batch. Waiting requests are served by priority, lower numbers first, and within
/// a priority in order of arrival. Thread safety: all methods from any thread.
class EngineScheduler {
public:
    explicit EngineScheduler(std::uint32_t slots);

    /// Blocks until a slot is free and takes it.
    void acquire(std::int64_t priority);

    /// Releases a slot. Precondition: acquire() returned for it.
    void release();

    /// The number of requests that have a slot.
    std::uint32_t running() const;

    /// The number of requests that wait for a slot.
    std::uint32_t waiting() const;

private:
    using Ticket = std::pair<std::int64_t, std::uint64_t>;

    mutable std::mutex mutex_;
    std::condition_variable changed_;
    std::uint32_t slots_;
    std::uint32_t running_ { 0 };
    std::uint64_t lastTicket_ { 0 };
    std::set<Ticket> queue_;
};

/// An engine's cache of prompt prefixes; evicts the least recently used one first.
/// Thread safety: all methods from any thread.
class EnginePrefixCache {
public:
    explicit EnginePrefixCache(std::size_t capacity);

    /// Marks a prefix as used and caches it; returns whether it was already cached.
    bool touch(const std::string& prefix);

private:
    std::mutex mutex_;
    std::size_t capacity_;
    std::list<std::string> prefixes_;
};

} // namespace Ibisturn::StandIns
