#pragma once

#include <LibDecision/Placement/PlacementQuery.h>

#include <list>
#include <unordered_map>

namespace Ibisturn {

/// Estimates which prompt parts an engine has cached, from the prompts that were sent to it, assuming LRU eviction.
/// Thread safety: one thread at a time.
class PromptCacheEstimate {
public:
    /// `capacity` is the number of prompt tokens that the engine can cache.
    explicit PromptCacheEstimate(TokenCount capacity = TokenCount(0));

    void setCapacity(TokenCount capacity);

    /// Records a prompt that was sent to the engine.
    void record(const std::vector<PromptPart>& prompt);

    /// The tokens of the leading parts that are probably cached; a part counts only if all parts before it are cached.
    TokenCount cachedTokens(const std::vector<PromptPart>& prompt) const;

    void clear();

private:
    void evict();

    TokenCount capacity_;
    TokenCount cachedTokens_;
    /// Ordered from the most to the least recently used part.
    std::list<PromptPart> parts_;
    std::unordered_map<std::uint64_t, std::list<PromptPart>::iterator> byId_;
};

} // namespace Ibisturn
