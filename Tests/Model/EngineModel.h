#pragma once

#include "VirtualTime.h"

#include <LibDecision/Placement/PlacementQuery.h>

#include <deque>
#include <list>
#include <map>
#include <unordered_map>

namespace Ibisturn::Model {

/// Capacity and speed of a simulated engine.
struct EngineParameters {
    std::uint32_t slots { 64 };
    /// Maximum number of requests queued in the engine.
    std::uint32_t maxQueued { 64 };
    double promptTokensPerMillisecond { 100 };
    /// From the end of the prefill to the first token.
    Duration firstToken { std::chrono::milliseconds(45) };
    /// Time between two tokens when one request runs, and the fraction of it that each running request adds.
    Duration tokenTime { std::chrono::milliseconds(4) };
    double slowdownPerRequest { 0.015 };
    /// Capacity in tokens for running requests and cached prompt parts, and the fraction of it that the cache may use.
    TokenCount memory { 400'000 };
    double cacheShare { 0.6 };
};

/// One execution of a request.
struct EngineJob {
    std::vector<PromptPart> prompt;
    TokenCount promptTokens;
    std::uint32_t answerTokens { 0 };
    std::uint32_t priority { 0 };
    std::function<void()> onFirstToken;
    std::function<void()> onEnd;
    /// Called when the engine crashes while the job is queued or running.
    std::function<void()> onCrash;
};

using EngineJobId = Quantity<struct EngineJobTag, std::uint64_t>;

/// A model engine in virtual time. Prompts are prefilled one at a time in order of priority; the answers are then
/// decoded concurrently. Running requests share the memory with cached prompt parts, which are evicted in LRU order.
/// FIXME: Simulate chunked prefill and preemption.
/// Thread safety: one thread.
class EngineModel {
public:
    /// Precondition: `time` outlives the engine.
    EngineModel(VirtualTime& time, EngineParameters parameters);

    /// Queues a job; returns nothing, without running the job, if the queue is full.
    std::optional<EngineJobId> submit(EngineJob job);

    /// Cancels a job; none of its callbacks is called any more. Unknown ids are ignored.
    void cancel(EngineJobId id);

    /// Discards all jobs, calling their onCrash, and all cached prompt parts.
    void crash();

    /// Multiplies the duration of all work that starts from now on by `factor`.
    void setSlowness(double factor) { slowness_ = factor; }

    std::uint32_t running() const { return static_cast<std::uint32_t>(running_.size()); }
    std::uint32_t waiting() const { return static_cast<std::uint32_t>(waiting_.size()); }

    /// Prefilled tokens, and those of them in parts before the last one of a prompt, which requests share.
    std::uint64_t prefilledTokens() const { return prefilledTokens_; }
    std::uint64_t sharedPrefilledTokens() const { return sharedPrefilledTokens_; }

private:
    void startNext();
    void finishPrefill(std::uint64_t id);
    void finish(std::uint64_t id);
    std::int64_t prefillPrompt(const EngineJob& job);
    void evict();

    VirtualTime& time_;
    EngineParameters parameters_;
    double slowness_ { 1 };
    std::uint64_t lastJob_ { 0 };
    /// Incremented at each crash, so that events scheduled before it are ignored.
    std::uint64_t incarnation_ { 0 };
    std::map<std::uint64_t, EngineJob> jobs_;
    /// Ordered by priority and arrival.
    std::map<std::pair<std::uint32_t, std::uint64_t>, std::uint64_t> waiting_;
    std::optional<std::uint64_t> prefilling_;
    std::map<std::uint64_t, std::int64_t> running_;
    std::int64_t reservedTokens_ { 0 };
    /// Cached prompt parts, the most recently used first.
    std::list<PromptPart> cachedParts_;
    std::unordered_map<std::uint64_t, std::list<PromptPart>::iterator> cachedPartById_;
    std::int64_t cachedTokens_ { 0 };
    std::uint64_t prefilledTokens_ { 0 };
    std::uint64_t sharedPrefilledTokens_ { 0 };
};

} // namespace Ibisturn::Model
