#pragma once

#include <condition_variable>
#include <cstdint>
#include <list>
#include <mutex>
#include <set>
#include <string>
#include <utility>

namespace Ibisturn::StandIns {

/// The slots of an engine's batch. A request waits for one in the order of its priority, lower numbers first,
/// and then of its arrival. Thread safety: all methods from any thread.
class EngineScheduler {
public:
    explicit EngineScheduler(std::uint32_t slots);

    /// Waits for a slot.
    void acquire(std::int64_t priority);

    /// Gives a slot back. Precondition: acquire() returned for it.
    void release();

    /// Requests that have a slot.
    std::uint32_t running() const;

    /// Requests that wait for one.
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

/// The prompt prefixes that an engine keeps, the least recently used dropped first.
/// Thread safety: all methods from any thread.
class EnginePrefixCache {
public:
    explicit EnginePrefixCache(std::size_t capacity);

    /// Notes the use of a prefix; returns whether it was kept.
    bool touch(const std::string& prefix);

private:
    std::mutex mutex_;
    std::size_t capacity_;
    std::list<std::string> prefixes_;
};

} // namespace Ibisturn::StandIns
