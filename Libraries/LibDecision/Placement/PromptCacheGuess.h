#pragma once

#include <LibDecision/Placement/PlacementAsk.h>

#include <list>
#include <unordered_map>

namespace Ibisturn {

/// The parts of prompts that an engine probably keeps, from what was sent to it: the least recently used ones yield.
/// Thread safety: one thread at a time.
class PromptCacheGuess {
public:
    /// `capacity` is what the engine keeps of parts.
    explicit PromptCacheGuess(TokenCount capacity = TokenCount(0));

    /// Changes the capacity.
    void setCapacity(TokenCount capacity);

    /// Notes a prompt that was sent.
    void note(const std::vector<PromptPart>& prompt);

    /// The tokens of the leading parts that are probably kept; a part counts only behind kept ones.
    TokenCount kept(const std::vector<PromptPart>& prompt) const;

    /// Forgets all parts.
    void clear();

private:
    void evict();

    TokenCount capacity_;
    TokenCount held_;
    /// The most recently used part first.
    std::list<PromptPart> parts_;
    std::unordered_map<std::uint64_t, std::list<PromptPart>::iterator> byId_;
};

} // namespace Ibisturn
