#pragma once

#include <chrono>
#include <cstdint>
#include <deque>
#include <mutex>
#include <random>
#include <string>

namespace Ibisturn::StandIns {

/// A document whose changes become visible to readers only after a fixed lag, as with an engine's delayed load reports.
/// Thread safety: all methods from any thread.
class DelayedReport {
public:
    explicit DelayedReport(std::chrono::milliseconds lag);

    /// Replaces the document; the change becomes visible after the lag.
    void set(std::string document);

    /// The newest visible document; empty if none is visible yet.
    std::string get();

private:
    struct Pending {
        std::chrono::steady_clock::time_point visibleFrom;
        std::string document;
    };

    std::mutex mutex_;
    std::chrono::milliseconds lag_;
    std::deque<Pending> pending_;
    std::string visible_;
};

/// The event stream of a prefix cache, numbered from one. Lost events leave gaps in the numbers.
/// Thread safety: all methods from any thread.
class CacheEvents {
public:
    /// Drops each event with probability `lossProbability`, using a generator seeded with `seed`.
    CacheEvents(double lossProbability, std::uint64_t seed);

    /// Records that a prefix was stored in the cache.
    void recordStored(const std::string& prefix);

    /// The events numbered above `after`, as a JSON document.
    std::string since(std::uint64_t after) const;

private:
    struct Event {
        std::uint64_t number;
        std::string prefix;
    };

    mutable std::mutex mutex_;
    double lossProbability_;
    std::mt19937_64 random_;
    std::uint64_t lastNumber_ { 0 };
    std::deque<Event> events_;
};

} // namespace Ibisturn::StandIns
