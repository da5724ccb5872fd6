#include <LibKernel/Asio.h>

#include "EngineModel.h"

#include <utility>

namespace Ibisturn::Model {

EngineModel::EngineModel(VirtualTime& time, EngineParameters parameters)
    : time_(time)
    , parameters_(parameters)
{
}

std::optional<EngineJobId> EngineModel::submit(EngineJob job)
{
    if (running_.size() + (prefilling_ ? 1 : 0) >= parameters_.slots && waiting_.size() >= parameters_.maxQueued)
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
        reservedTokens_ -= run->second;
        running_.erase(run);
    }
    // A prompt that is being prefilled is still prefilled to its end.
    jobs_.erase(found);
    startNext();
}

void EngineModel::crash()
{
    ++incarnation_;
    waiting_.clear();
    running_.clear();
    prefilling_.reset();
    cachedParts_.clear();
    cachedPartById_.clear();
    reservedTokens_ = cachedTokens_ = 0;
    for (auto& [id, job] : std::exchange(jobs_, {}))
        job.onCrash();
}

void EngineModel::startNext()
{
    if (prefilling_ || waiting_.empty() || running_.size() >= parameters_.slots)
        return;
    const auto id = waiting_.begin()->second;
    const auto& job = jobs_.at(id);
    const auto needed = job.promptTokens.count() + job.answerTokens;
    if (reservedTokens_ > 0 && reservedTokens_ + needed > parameters_.memory.count())
        return;
    waiting_.erase(waiting_.begin());
    prefilling_ = id;
    const auto uncachedTokens = prefillPrompt(job);
    const std::chrono::duration<double, std::milli> prefillTime(static_cast<double>(uncachedTokens) / parameters_.promptTokensPerMillisecond * slowness_);
    const auto duration = std::chrono::duration_cast<Duration>(prefillTime);
    time_.after(duration, [this, id, incarnation = incarnation_] {
        if (incarnation == incarnation_)
            finishPrefill(id);
    });
}

void EngineModel::finishPrefill(std::uint64_t id)
{
    prefilling_.reset();
    const auto found = jobs_.find(id);
    if (found != jobs_.end()) {
        const auto reserved = found->second.promptTokens.count() + found->second.answerTokens;
        running_[id] = reserved;
        reservedTokens_ += reserved;
        evict();
        const auto slowdown = slowness_ * (1 + parameters_.slowdownPerRequest * static_cast<double>(running_.size()));
        const std::chrono::duration<double> timePerToken = parameters_.tokenTime * slowdown;
        const auto firstTokenDelay = std::chrono::duration_cast<Duration>(std::chrono::duration<double>(parameters_.firstToken) * slowness_);
        time_.after(firstTokenDelay, [this, id, incarnation = incarnation_] {
            const auto job = jobs_.find(id);
            if (incarnation == incarnation_ && job != jobs_.end())
                job->second.onFirstToken();
        });
        const auto decodeTime = std::chrono::duration_cast<Duration>(timePerToken * found->second.answerTokens);
        time_.after(firstTokenDelay + decodeTime, [this, id, incarnation = incarnation_] {
            if (incarnation == incarnation_)
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
    reservedTokens_ -= running_.at(id);
    running_.erase(id);
    job.onEnd();
    startNext();
}

std::int64_t EngineModel::prefillPrompt(const EngineJob& job)
{
    std::int64_t uncachedTokens = job.promptTokens.count();
    bool isPrefixCached = true;
    for (std::size_t index = 0; index < job.prompt.size(); ++index) {
        const auto& part = job.prompt[index];
        const auto found = cachedPartById_.find(part.id);
        if (found != cachedPartById_.end()) {
            cachedParts_.splice(cachedParts_.begin(), cachedParts_, found->second);
            if (isPrefixCached)
                uncachedTokens -= part.tokens.count();
            continue;
        }
        isPrefixCached = false;
        if (index + 1 < job.prompt.size())
            sharedPrefilledTokens_ += static_cast<std::uint64_t>(part.tokens.count());
        cachedParts_.push_front(part);
        cachedPartById_[part.id] = cachedParts_.begin();
        cachedTokens_ += part.tokens.count();
    }
    evict();
    prefilledTokens_ += static_cast<std::uint64_t>(uncachedTokens);
    return uncachedTokens;
}

void EngineModel::evict()
{
    const auto maxCached = static_cast<std::int64_t>(static_cast<double>(parameters_.memory.count()) * parameters_.cacheShare);
    const auto cacheCapacity = std::min(maxCached, parameters_.memory.count() - reservedTokens_);
    while (cachedTokens_ > cacheCapacity && !cachedParts_.empty()) {
        cachedTokens_ -= cachedParts_.back().tokens.count();
        cachedPartById_.erase(cachedParts_.back().id);
        cachedParts_.pop_back();
    }
}

} // namespace Ibisturn::Model
