#include <LibDecision/PromptAffinity/PartRates.h>

#include <algorithm>

namespace Ibisturn {

namespace {

/// A part with fewer requests in the window is not frequent: two requests of a session may come in quick succession.
constexpr double minFrequentRequests = 4;
/// A shorter time since the first request gives too uncertain a rate.
constexpr Duration minAge = std::chrono::milliseconds(250);

} // namespace

void PartRates::record(TimePoint now, const std::vector<PromptPart>& prompt)
{
    expire(now);
    for (std::size_t index = 0; index + 1 < prompt.size(); ++index) {
        auto found = counts_.find(prompt[index].id);
        if (found == counts_.end()) {
            if (counts_.size() >= maxParts)
                continue;
            found = counts_.emplace(prompt[index].id, Count { now, now }).first;
        }
        auto& count = found->second;
        if (now - count.begin >= window * 2)
            count = { now, now };
        if (now - count.begin >= window) {
            count.previous = count.current;
            count.current = 0;
            count.begin += window;
        }
        ++count.current;
    }
}

double PartRates::requests(TimePoint now, std::uint64_t part) const
{
    const auto found = counts_.find(part);
    if (found == counts_.end())
        return 0;
    const auto& count = found->second;
    // Of the older of the two periods, only the end lies in the last window.
    const auto periods = std::chrono::duration<double>(now - count.begin) / std::chrono::duration<double>(window);
    if (periods >= 1)
        return count.current * std::max(0.0, 2 - periods);
    return count.current + count.previous * (1 - periods);
}

double PartRates::requestsPerSecond(TimePoint now, std::uint64_t part) const
{
    const auto count = requests(now, part);
    auto period = window;
    if (count >= minFrequentRequests)
        period = std::clamp<Duration>(now - counts_.at(part).firstAt, minAge, window);
    return count / std::chrono::duration<double>(period).count();
}

bool PartRates::isEstablished(TimePoint now, std::uint64_t part) const
{
    const auto found = counts_.find(part);
    return found != counts_.end() && now - found->second.firstAt >= window && now - found->second.begin < window * 2;
}

void PartRates::expire(TimePoint now)
{
    if (now < nextExpiryAt_)
        return;
    nextExpiryAt_ = now + window;
    std::erase_if(counts_, [now](const auto& entry) { return now - entry.second.begin >= window * 2; });
}

} // namespace Ibisturn
