#include <LibDecision/Admission/HeldAnswers.h>

#include <algorithm>

namespace Ibisturn {

HeldAnswerId HeldAnswers::add(TimePoint now)
{
    advance(now);
    const HeldAnswerId id(++lastId_);
    progressAt_.emplace(id, now);
    byProgress_.emplace(now, id);
    return id;
}

void HeldAnswers::onProgress(TimePoint now, HeldAnswerId id)
{
    advance(now);
    const auto found = progressAt_.find(id);
    if (found == progressAt_.end())
        return;
    byProgress_.erase({ found->second, id });
    found->second = now;
    byProgress_.emplace(now, id);
}

void HeldAnswers::remove(HeldAnswerId id)
{
    const auto found = progressAt_.find(id);
    if (found == progressAt_.end())
        return;
    byProgress_.erase({ found->second, id });
    progressAt_.erase(found);
}

void HeldAnswers::advance(TimePoint now)
{
    if (lastCallAt_ != TimePoint {} && now - lastCallAt_ > maxGap)
        runningSince_ = now;
    lastCallAt_ = now;
}

std::optional<HeldAnswerId> HeldAnswers::longestStalled(TimePoint now)
{
    advance(now);
    if (byProgress_.empty())
        return std::nullopt;
    const auto& [progressAt, id] = *byProgress_.begin();
    if (now - std::max(progressAt, runningSince_) < minStall)
        return std::nullopt;
    return id;
}

} // namespace Ibisturn
