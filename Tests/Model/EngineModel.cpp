#include <LibKernel/Asio.h>

#include "EngineModel.h"

#include <utility>

namespace Ibisturn::Model {

EngineModel::EngineModel(VirtualTime& time, EngineSpeed speed)
    : time_(time)
    , speed_(speed)
{
}

std::optional<EngineJobId> EngineModel::arrive(EngineJob job)
{
    if (running_.size() + (reading_ ? 1 : 0) >= speed_.slots && waiting_.size() >= speed_.queue)
        return std::nullopt;
    const auto id = ++lastJob_;
    waiting_[{ job.priority, id }] = id;
    jobs_[id] = std::move(job);
    startNext();
    return EngineJobId(id);
}

void EngineModel::cancel(EngineJobId id)
{
    const auto found = jobs_.find(id.count());
    if (found == jobs_.end())
        return;
    waiting_.erase({ found->second.priority, id.count() });
    if (const auto run = running_.find(id.count()); run != running_.end()) {
        held_ -= run->second;
        running_.erase(run);
    }
    // A prompt that is being prefilled is still prefilled to its end.
    jobs_.erase(found);
    startNext();
}

void EngineModel::crash()
{
    ++life_;
    waiting_.clear();
    running_.clear();
    reading_.reset();
    parts_.clear();
    partById_.clear();
    held_ = kept_ = 0;
    for (auto& [id, job] : std::exchange(jobs_, {}))
        job.onLost();
}

void EngineModel::startNext()
{
    if (reading_ || waiting_.empty() || running_.size() >= speed_.slots)
        return;
    const auto id = waiting_.begin()->second;
    const auto& job = jobs_.at(id);
    const auto needed = job.promptTokens.count() + job.answerTokens;
    if (held_ > 0 && held_ + needed > speed_.memory.count())
        return;
    waiting_.erase(waiting_.begin());
    reading_ = id;
    const auto toRead = readPrompt(job);
    const std::chrono::duration<double, std::milli> reading(static_cast<double>(toRead) / speed_.promptTokensPerMillisecond * slowness_);
    const auto duration = std::chrono::duration_cast<Duration>(reading);
    time_.after(duration, [this, id, life = life_] {
        if (life == life_)
            finishReading(id);
    });
}

void EngineModel::finishReading(std::uint64_t id)
{
    reading_.reset();
    const auto found = jobs_.find(id);
    if (found != jobs_.end()) {
        const auto held = found->second.promptTokens.count() + found->second.answerTokens;
        running_[id] = held;
        held_ += held;
        evict();
        const auto pace = slowness_ * (1 + speed_.crowding * static_cast<double>(running_.size()));
        const std::chrono::duration<double> token = speed_.tokenTime * pace;
        const auto first = std::chrono::duration_cast<Duration>(std::chrono::duration<double>(speed_.firstToken) * slowness_);
        time_.after(first, [this, id, life = life_] {
            const auto job = jobs_.find(id);
            if (life == life_ && job != jobs_.end())
                job->second.onFirstToken();
        });
        const auto answering = std::chrono::duration_cast<Duration>(token * found->second.answerTokens);
        time_.after(first + answering, [this, id, life = life_] {
            if (life == life_)
                finish(id);
        });
    }
    startNext();
}

void EngineModel::finish(std::uint64_t id)
{
    const auto found = jobs_.find(id);
    if (found == jobs_.end())
        return;
    const auto job = std::move(found->second);
    jobs_.erase(found);
    held_ -= running_.at(id);
    running_.erase(id);
    job.onEnd();
    startNext();
}

std::int64_t EngineModel::readPrompt(const EngineJob& job)
{
    std::int64_t toRead = job.promptTokens.count();
    bool isBehindKept = true;
    for (std::size_t index = 0; index < job.prompt.size(); ++index) {
        const auto& part = job.prompt[index];
        const auto found = partById_.find(part.id);
        if (found != partById_.end()) {
            parts_.splice(parts_.begin(), parts_, found->second);
            if (isBehindKept)
                toRead -= part.tokens.count();
            continue;
        }
        isBehindKept = false;
        if (index + 1 < job.prompt.size())
            sharedTokensRead_ += static_cast<std::uint64_t>(part.tokens.count());
        parts_.push_front(part);
        partById_[part.id] = parts_.begin();
        kept_ += part.tokens.count();
    }
    evict();
    tokensRead_ += static_cast<std::uint64_t>(toRead);
    return toRead;
}

void EngineModel::evict()
{
    const auto most = static_cast<std::int64_t>(static_cast<double>(speed_.memory.count()) * speed_.cacheShare);
    const auto room = std::min(most, speed_.memory.count() - held_);
    while (kept_ > room && !parts_.empty()) {
        kept_ -= parts_.back().tokens.count();
        partById_.erase(parts_.back().id);
        parts_.pop_back();
    }
}

} // namespace Ibisturn::Model
