#include <LibDecision/Placement/PromptCacheEstimate.h>

namespace Ibisturn {

PromptCacheEstimate::PromptCacheEstimate(TokenCount capacity)
    : capacity_(capacity)
{
}

void PromptCacheEstimate::setCapacity(TokenCount capacity)
{
    capacity_ = capacity;
    evict();
}

void PromptCacheEstimate::record(const std::vector<PromptPart>& prompt)
{
    // Insert the first part last, so that it is evicted last: later parts are useless without it.
    for (auto part = prompt.rbegin(); part != prompt.rend(); ++part) {
        const auto found = byId_.find(part->id);
        if (found != byId_.end()) {
            parts_.splice(parts_.begin(), parts_, found->second);
            continue;
        }
        parts_.push_front(*part);
        byId_.emplace(part->id, parts_.begin());
        cachedTokens_ += part->tokens;
    }
    evict();
}

TokenCount PromptCacheEstimate::cachedTokens(const std::vector<PromptPart>& prompt) const
{
    TokenCount tokens;
    for (const auto& part : prompt) {
        if (!byId_.contains(part.id))
            break;
        tokens += part.tokens;
    }
    return tokens;
}

void PromptCacheEstimate::clear()
{
    parts_.clear();
    byId_.clear();
    cachedTokens_ = TokenCount(0);
}

void PromptCacheEstimate::evict()
{
    while (cachedTokens_ > capacity_ && !parts_.empty()) {
        cachedTokens_ -= parts_.back().tokens;
        byId_.erase(parts_.back().id);
        parts_.pop_back();
    }
}

} // namespace Ibisturn
