#pragma once

#include <LibCore/Clock.h>
#include <LibCore/Quantity.h>
#include <LibDecision/Admission/AdmissionControl.h>

#include <cstdint>
#include <deque>
#include <list>
#include <optional>
#include <vector>

namespace Ibisturn::Benchmarks {

/// The capacity and speed of a modelled replica.
struct ReplicaSpeed {
    std::uint32_t slots { 16 };
    double prefillTokensPerSecond { 8000 };
    /// Interval between two tokens of one answer when nothing else runs; with a full batch it is 50 % longer.
    Duration tokenTime { std::chrono::milliseconds(20) };
    /// Capacity of the prefix cache.
    std::size_t cachedPrefixes { 32 };
};

/// One request as received by a replica.
struct ReplicaJob {
    std::uint64_t request { 0 };
    std::uint64_t prefix { 0 };
    std::uint32_t promptTokens { 0 };
    std::uint32_t answerTokens { 0 };
    EnginePriority priority { EnginePriority::Ordinary };
};

/// The start of a job, with the times of its first token and of its end.
struct JobStart {
    std::uint64_t request { 0 };
    TimePoint firstToken;
    TimePoint end;
};

/// A queueing model of one engine replica: slots, a first-in-first-out queue that high priority bypasses, and a prefix
/// cache.
/// Thread safety: one thread.
class ReplicaModel {
public:
    explicit ReplicaModel(ReplicaSpeed speed);

    /// Accepts a job; returns its start, or nothing if it is queued.
    std::optional<JobStart> arrive(TimePoint now, const ReplicaJob& job);

    /// Ends a running job; returns the start of the queued job that takes its slot, if there is one.
    std::optional<JobStart> finish(TimePoint now);

    /// The number of jobs running and queued.
    std::uint32_t load() const { return running_ + static_cast<std::uint32_t>(waiting_.size()); }

    /// The number of jobs queued.
    std::uint32_t waiting() const { return static_cast<std::uint32_t>(waiting_.size()); }

    /// The number of jobs whose prefix was cached.
    std::uint64_t cacheHits() const { return cacheHits_; }

    /// Empties the cache, as a restart does.
    void clearCache() { cache_.clear(); }

private:
    JobStart start(TimePoint now, const ReplicaJob& job);
    bool touchCache(std::uint64_t prefix);

    ReplicaSpeed speed_;
    std::uint32_t running_ { 0 };
    std::deque<ReplicaJob> waiting_;
    /// Ordered from the most to the least recently used.
    std::list<std::uint64_t> cache_;
    std::uint64_t cacheHits_ { 0 };
};

} // namespace Ibisturn::Benchmarks
