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
    constexpr auto windowSeconds = std::chrono::duration<double>(PartRates::window).count();
    const auto holders = std::ceil(regionRequests(session) / windowSeconds / requestsPerHolder);
    return static_cast<std::size_t>(std::clamp(holders, 1.0, static_cast<double>(maxHolders)));
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
    const auto servers = std::max<std::size_t>(1, ranking_.size());
    return rates_.isEstablished(now_, part) && regionRequests(part) >= commonRequestsPerServer * static_cast<double>(servers);
}

double PromptAffinity::regionRequests(std::uint64_t part) const
{
    return rates_.requests(now_, part) * static_cast<double>(instanceCount_);
}

} // namespace Ibisturn
