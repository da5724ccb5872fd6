#include <LibHTTP/Callers/HeldAnswerTable.h>

#include <LibCore/SteadyClock.h>

#include <utility>

namespace Ibisturn {

HeldAnswerTable::Scope::Scope(HeldAnswerTable& table, std::function<void()> giveUp)
    : state_(table.state_)
    , id_(state_->answers.add(SteadyClock().now()))
{
    state_->giveUp.emplace(id_, std::move(giveUp));
}

HeldAnswerTable::Scope::~Scope()
{
    state_->answers.remove(id_);
    state_->giveUp.erase(id_);
}

void HeldAnswerTable::Scope::recordProgress()
{
    state_->answers.onProgress(SteadyClock().now(), id_);
}

bool HeldAnswerTable::giveUpLongestStalled()
{
    const auto id = state_->answers.longestStalled(SteadyClock().now());
    if (!id)
        return false;
    // Its scope lives until the writer of the answer has noticed.
    state_->answers.remove(*id);
    const auto found = state_->giveUp.find(*id);
    const auto giveUp = std::move(found->second);
    state_->giveUp.erase(found);
    metrics_.increment("ibisturn_answers_given_up_total");
    giveUp();
    return true;
}

void HeldAnswerTable::report(TimePoint now)
{
    state_->answers.advance(now);
    metrics_.set("ibisturn_answers_held", static_cast<double>(state_->answers.size()));
}

} // namespace Ibisturn
