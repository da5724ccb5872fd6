#pragma once

#include <chrono>
#include <cstdint>
#include <deque>
#include <mutex>
#include <random>
#include <string>

namespace Ibisturn::StandIns {

/// A document that changes and is seen by readers only after a lag.
/// Thread safety: all methods from any thread.
class LaggingReport {
public:
    explicit LaggingReport(std::chrono::milliseconds lag);

    /// Replaces the document; readers see it after the lag.
    void set(std::string document);

    /// The newest document that is old enough; empty if there is none.
    std::string get();

private:
    struct Pending {
        std::chrono::steady_clock::time_point shownFrom;
        std::string document;
    };

    std::mutex mutex_;
    std::chrono::milliseconds lag_;
    std::deque<Pending> pending_;
    std::string shown_;
};

/// The events of a prefix cache, numbered from one. Some numbers never appear.
/// Thread safety: all methods from any thread.
class CacheEvents {
public:
    /// Loses this share of the events; `seed` decides which.
    CacheEvents(double lossShare, std::uint64_t seed);

    /// Notes that a prefix was stored.
    void stored(const std::string& prefix);

    /// The events after number `after` as a JSON document.
    std::string since(std::uint64_t after) const;

private:
    struct Event {
        std::uint64_t number;
        std::string prefix;
    };

    mutable std::mutex mutex_;
    double lossShare_;
    std::mt19937_64 random_;
    std::uint64_t last_ { 0 };
    std::deque<Event> events_;
};

} // namespace Ibisturn::StandIns
