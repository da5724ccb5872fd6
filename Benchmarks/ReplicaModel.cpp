#include "ReplicaModel.h"

#include <algorithm>

namespace Ibisturn::Benchmarks {

namespace {

/// The share of a prompt's prefill work that a cached prefix saves.
constexpr double cachedPrefillShare = 0.8;

Duration seconds(double count)
{
    return std::chrono::duration_cast<Duration>(std::chrono::duration<double>(count));
}

} // namespace

ReplicaModel::ReplicaModel(ReplicaSpeed speed)
    : speed_(speed)
{
}

std::optional<JobStart> ReplicaModel::arrive(TimePoint now, const ReplicaJob& job)
{
    if (running_ >= speed_.slots) {
        const bool isHighPriority = job.priority == EnginePriority::High;
        waiting_.insert(isHighPriority ? waiting_.begin() : waiting_.end(), job);
        return std::nullopt;
    }
    return start(now, job);
}

std::optional<JobStart> ReplicaModel::finish(TimePoint now)
{
    --running_;
    if (waiting_.empty())
        return std::nullopt;
    const auto job = waiting_.front();
    waiting_.pop_front();
    return start(now, job);
}

JobStart ReplicaModel::start(TimePoint now, const ReplicaJob& job)
{
    ++running_;
    const double uncachedTokens = touchCache(job.prefix) ? job.promptTokens * (1 - cachedPrefillShare) : job.promptTokens;
    const double slowdown = 1 + 0.5 * running_ / speed_.slots;
    const auto firstToken = now + seconds(uncachedTokens / speed_.prefillTokensPerSecond * slowdown) + speed_.tokenTime;
    const auto perToken = std::chrono::duration<double>(speed_.tokenTime).count() * slowdown;
    return { job.request, firstToken, firstToken + seconds(perToken * job.answerTokens) };
}

bool ReplicaModel::touchCache(std::uint64_t prefix)
{
    const auto found = std::find(cache_.begin(), cache_.end(), prefix);
    const bool isHit = found != cache_.end();
    if (isHit)
        cache_.erase(found);
    cache_.push_front(prefix);
    if (cache_.size() > speed_.cachedPrefixes)
        cache_.pop_back();
    cacheHits_ += isHit ? 1 : 0;
    return isHit;
}

} // namespace Ibisturn::Benchmarks
