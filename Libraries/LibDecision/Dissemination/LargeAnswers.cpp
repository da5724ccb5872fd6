#include <LibDecision/Dissemination/LargeAnswers.h>

#include <numeric>
#include <utility>

namespace Ibisturn {

namespace {

std::size_t sizeOf(const StoreUpdate& answer)
{
    const auto addSize = [](std::size_t sum, const RecordChange& change) { return sum + (change.value ? change.value->size() : 0); };
    return std::accumulate(answer.changes.begin(), answer.changes.end(), std::size_t(0), addSize);
}

} // namespace

void LargeAnswers::onAnswer(TimePoint now, const InstanceId& peer, std::vector<Revision> positions, const StoreUpdate& answer)
{
    if (sizeOf(answer) > minBytes)
        answers_[peer] = { now, std::move(positions) };
}

bool LargeAnswers::isRepeated(TimePoint now, const InstanceId& peer, const std::vector<Revision>& positions)
{
    std::erase_if(answers_, [now](const auto& entry) { return now - entry.second.sentAt >= repetitionTime; });
    const auto found = answers_.find(peer);
    return found != answers_.end() && found->second.positions == positions;
}

} // namespace Ibisturn
