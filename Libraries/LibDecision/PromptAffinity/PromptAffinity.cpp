#include <LibDecision/PromptAffinity/PromptAffinity.h>

#include <algorithm>
#include <cmath>

namespace Ibisturn {

std::optional<std::uint64_t> PromptAffinity::sessionOf(const std::vector<PromptPart>& prompt)
{
    return prompt.size() < 2 ? std::nullopt : std::optional(prompt[prompt.size() - 2].id);
}

const std::vector<std::size_t>& PromptAffinity::ranked(std::uint64_t session) const
{
    const std::pair wanted { session, ranking_.version() };
    if (rankedFor_ != wanted) {
        ranked_ = ranking_.rank(session, maxHolders + 1);
        rankedFor_ = wanted;
    }
    return ranked_;
}

std::size_t PromptAffinity::holderCount(std::uint64_t session) const
{
    const auto requestsPerSecond = rates_.requestsPerSecond(now_, session) * static_cast<double>(instanceCount_);
    const auto holders = std::ceil(requestsPerSecond / requestsPerHolder);
    if (holders > static_cast<double>(maxHolders) || isCommon(session))
        return 0;
    return static_cast<std::size_t>(std::max(1.0, holders));
}

std::optional<std::size_t> PromptAffinity::rankOf(std::uint64_t session, const BackendServerId& server) const
{
    const auto& indexes = ranked(session);
    const auto found = std::find_if(indexes.begin(), indexes.end(), [&](std::size_t index) { return ranking_.at(index) == server; });
    return found == indexes.end() ? std::nullopt : std::optional(static_cast<std::size_t>(found - indexes.begin()));
}

TokenCount PromptAffinity::commonTokens(const std::vector<PromptPart>& prompt) const
{
    TokenCount tokens;
    for (std::size_t index = 0; index + 1 < prompt.size() && isCommon(prompt[index].id); ++index)
        tokens += prompt[index].tokens;
    return tokens;
}

bool PromptAffinity::isCommon(std::uint64_t part) const
{
    const auto requests = rates_.requests(now_, part) * static_cast<double>(instanceCount_);
    const auto servers = std::max<std::size_t>(1, ranking_.size());
    return rates_.isEstablished(now_, part) && requests >= commonRequestsPerServer * static_cast<double>(servers);
}

} // namespace Ibisturn
