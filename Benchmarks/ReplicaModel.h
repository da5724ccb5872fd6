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

/// How fast a modelled replica works.
struct ReplicaSpeed {
    std::uint32_t slots { 16 };
    double prefillTokensPerSecond { 8000 };
    /// Between two tokens of one answer with nothing else running; a full batch takes half as much again.
    Duration tokenTime { std::chrono::milliseconds(20) };
    /// Prompt prefixes that fit into the cache.
    std::size_t cachedPrefixes { 32 };
};

/// One request as a replica sees it.
struct ReplicaJob {
    std::uint64_t request { 0 };
    std::uint64_t prefix { 0 };
    std::uint32_t promptTokens { 0 };
    std::uint32_t answerTokens { 0 };
    EnginePriority priority { EnginePriority::Ordinary };
};

/// A job that began: when its first token comes and when it ends.
struct ReplicaStart {
    std::uint64_t request { 0 };
    TimePoint firstToken;
    TimePoint end;
};

/// A queue model of one engine replica: slots, first come first served, and a prefix cache.
/// Thread safety: one thread.
class ReplicaModel {
public:
    explicit ReplicaModel(ReplicaSpeed speed);

    /// Takes a job; returns its start, or nothing if it waits in the replica's queue.
    std::optional<ReplicaStart> arrive(TimePoint now, const ReplicaJob& job);

    /// A running job ended; returns the start of the one that took its slot, if any waited.
    std::optional<ReplicaStart> finish(TimePoint now);

    /// Jobs running and waiting.
    std::uint32_t load() const { return running_ + static_cast<std::uint32_t>(waiting_.size()); }

    /// Jobs waiting.
    std::uint32_t waiting() const { return static_cast<std::uint32_t>(waiting_.size()); }

    /// Jobs whose prefix was cached.
    std::uint64_t cacheHits() const { return cacheHits_; }

    /// Empties the cache, as after a restart.
    void clearCache() { cache_.clear(); }

private:
    ReplicaStart start(TimePoint now, const ReplicaJob& job);
    bool touchCache(std::uint64_t prefix);

    ReplicaSpeed speed_;
    std::uint32_t running_ { 0 };
    std::deque<ReplicaJob> waiting_;
    /// The most recently used first.
    std::list<std::uint64_t> cache_;
    std::uint64_t cacheHits_ { 0 };
};

} // namespace Ibisturn::Benchmarks
