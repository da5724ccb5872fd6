#pragma once

#include "VirtualTime.h"

#include <LibDecision/Placement/PlacementQuery.h>

#include <deque>
#include <list>
#include <map>
#include <unordered_map>

namespace Ibisturn::Model {

/// How a modelled engine works.
struct EngineSpeed {
    std::uint32_t slots { 64 };
    /// Requests that wait inside the engine at most.
    std::uint32_t queue { 64 };
    double promptTokensPerMillisecond { 100 };
    /// From the end of reading to the first token.
    Duration firstToken { std::chrono::milliseconds(45) };
    /// Between two tokens of one answer alone, and the share of it that each further running request adds.
    Duration tokenTime { std::chrono::milliseconds(4) };
    double crowding { 0.015 };
    /// Tokens of running requests and of kept prompt parts.
    TokenCount memory { 400'000 };
    double cacheShare { 0.6 };
};

/// One run of a request.
struct EngineJob {
    std::vector<PromptPart> prompt;
    TokenCount promptTokens;
    std::uint32_t answerTokens { 0 };
    std::uint32_t priority { 0 };
    std::function<void()> onFirstToken;
    std::function<void()> onEnd;
    /// The engine went away.
    std::function<void()> onLost;
};

using EngineJobId = Quantity<struct EngineJobTag, std::uint64_t>;

/// A model engine on virtual time: requests are read one at a time, urgent ones first, and then answered side by side;
/// what runs shares the memory with the parts of prompts that are kept, the least recently used of which yield.
/// FIXME: Chunks of prompts between tokens, and preemption.
/// Thread safety: one thread.
class EngineModel {
public:
    /// Precondition: `time` outlives the engine.
    EngineModel(VirtualTime& time, EngineSpeed speed);

    /// Takes a job, or refuses it for lack of room without running it.
    std::optional<EngineJobId> arrive(EngineJob job);

    /// Stops a job; nothing more is heard of it. Unknown ids are ignored.
    void cancel(EngineJobId id);

    /// Loses all jobs and all kept parts.
    void crash();

    /// Makes everything take `factor` times as long from now on.
    void setSlowness(double factor) { slowness_ = factor; }

    std::uint32_t running() const { return static_cast<std::uint32_t>(running_.size()); }
    std::uint32_t waiting() const { return static_cast<std::uint32_t>(waiting_.size()); }

    /// Tokens read, and those of them that belong to parts that other requests share.
    std::uint64_t tokensRead() const { return tokensRead_; }
    std::uint64_t sharedTokensRead() const { return sharedTokensRead_; }

private:
    void startNext();
    void finishReading(std::uint64_t id);
    void finish(std::uint64_t id);
    std::int64_t readPrompt(const EngineJob& job);
    void evict();

    VirtualTime& time_;
    EngineSpeed speed_;
    double slowness_ { 1 };
    std::uint64_t lastJob_ { 0 };
    /// Grows with each crash, so that events from before it are told apart.
    std::uint64_t life_ { 0 };
    std::map<std::uint64_t, EngineJob> jobs_;
    /// By priority and arrival.
    std::map<std::pair<std::uint32_t, std::uint64_t>, std::uint64_t> waiting_;
    std::optional<std::uint64_t> reading_;
    std::map<std::uint64_t, std::int64_t> running_;
    std::int64_t held_ { 0 };
    /// Kept parts, the most recently used first.
    std::list<PromptPart> parts_;
    std::unordered_map<std::uint64_t, std::list<PromptPart>::iterator> partById_;
    std::int64_t kept_ { 0 };
    std::uint64_t tokensRead_ { 0 };
    std::uint64_t sharedTokensRead_ { 0 };
};

} // namespace Ibisturn::Model
