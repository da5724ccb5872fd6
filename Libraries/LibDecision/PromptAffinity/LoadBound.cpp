#include <LibDecision/PromptAffinity/LoadBound.h>

#include <algorithm>

namespace Ibisturn {

void LoadBound::add(std::uint32_t requests, TokenCount unreadTokens, double factor)
{
    requests_ += requests * factor;
    unreadTokens_ += static_cast<double>(unreadTokens.count()) * factor;
    ++servers_;
}

bool LoadBound::isExceededBy(std::uint32_t requests, TokenCount unreadTokens, double factor) const
{
    const auto servers = static_cast<double>(std::max<std::size_t>(1, servers_));
    const auto maxRequests = std::max(freeRequests_, requests_ / servers * maxOverMean);
    const auto maxTokens = std::max(freeTokens_, unreadTokens_ / servers * maxOverMean);
    return requests * factor > maxRequests || static_cast<double>(unreadTokens.count()) * factor > maxTokens;
}

} // namespace Ibisturn
