#include <LibDecision/Configuration/StoreFollower.h>

#include <algorithm>

namespace Ibisturn {

namespace {

constexpr Duration headReadInterval = std::chrono::seconds(1);
/// How long the watch may lag behind the head before the records are read again.
constexpr Duration watchLagLimit = std::chrono::milliseconds(300);
/// After this long without an answer, a call no longer delays the next one.
constexpr Duration callTimeout = std::chrono::milliseconds(1500);
constexpr std::size_t maxPendingCalls = 4;
constexpr Duration initialBackoff = std::chrono::milliseconds(200);
constexpr std::uint32_t maxDoublings = 1;

} // namespace

void StoreFollower::setInterest(StoreInterest interest)
{
    if (interest == StoreInterest::Watch && interest_ != StoreInterest::Watch)
        needsRead_ = true;
    interest_ = interest;
}

std::vector<StoreAction> StoreFollower::tick(TimePoint now)
{
    std::vector<StoreAction> actions;
    if (interest_ != StoreInterest::Watch && watch_) {
        watch_.reset();
        actions.emplace_back(StopWatch {});
    }
    const bool wantsRead = interest_ == StoreInterest::Watch || (interest_ == StoreInterest::Read && needsRead_);
    if (wantsRead && needsRead_ && !reads_.hasRecent(now) && now >= nextRead_) {
        const auto call = startCall(now);
        reads_.add(call);
        actions.emplace_back(ReadStore { call.id });
    }
    if (interest_ != StoreInterest::Watch)
        return actions;
    if (!needsRead_ && !watch_ && now >= nextRead_) {
        watch_ = startCall(now);
        actions.emplace_back(WatchStore { watch_->id, position_ });
    }
    if (!headReads_.hasRecent(now) && now >= nextHeadRead_) {
        const auto call = startCall(now);
        headReads_.add(call);
        nextHeadRead_ = now + headReadInterval;
        actions.emplace_back(ReadHead { call.id });
    }
    return actions;
}

bool StoreFollower::onRead(StoreCallId call, Revision position)
{
    const auto taken = reads_.take(call);
    // A store that was restored from an older state must not revert the configuration.
    if (!taken || position < position_)
        return false;
    recordCurrentAsOf(taken->startedAt);
    failures_ = 0;
    needsRead_ = false;
    position_ = position;
    return true;
}

bool StoreFollower::onHead(TimePoint now, StoreCallId call, Revision head, Revision inForce)
{
    const auto taken = headReads_.take(call);
    if (!taken)
        return false;
    if (head <= inForce) {
        recordCurrentAsOf(taken->startedAt);
        unreportedHead_.reset();
        return true;
    }
    if (unreportedHead_ && inForce < *unreportedHead_) {
        needsRead_ = true;
        nextRead_ = std::min(nextRead_, now);
        unreportedHead_.reset();
        // The watch skipped a change or is stalled, so it is replaced.
        watch_.reset();
        return true;
    }
    unreportedHead_ = head;
    nextHeadRead_ = now + watchLagLimit;
    return true;
}

bool StoreFollower::onWatched(StoreCallId call, Revision position)
{
    if (!watch_ || watch_->id != call)
        return false;
    position_ = std::max(position_, position);
    return true;
}

void StoreFollower::onFailed(TimePoint now, StoreCallId call)
{
    if (watch_ && watch_->id == call) {
        watch_.reset();
        // Changes may have been missed or compacted.
        needsRead_ = true;
        backOff(now);
    }
    if (reads_.take(call))
        backOff(now);
    if (headReads_.take(call))
        nextHeadRead_ = std::max(nextHeadRead_, now + initialBackoff);
}

StoreFollower::Call StoreFollower::startCall(TimePoint now)
{
    return { StoreCallId(++lastCall_), now };
}

void StoreFollower::recordCurrentAsOf(TimePoint at)
{
    currentAsOf_ = std::max(currentAsOf_.value_or(at), at);
}

void StoreFollower::backOff(TimePoint now)
{
    const auto backoff = initialBackoff * (1 << std::min(failures_, maxDoublings));
    ++failures_;
    nextRead_ = now + backoff;
}

void StoreFollower::Calls::add(const Call& call)
{
    calls_.push_back(call);
    if (calls_.size() > maxPendingCalls)
        calls_.pop_front();
}

std::optional<StoreFollower::Call> StoreFollower::Calls::take(StoreCallId call)
{
    const auto found = std::find_if(calls_.begin(), calls_.end(), [call](const auto& other) { return other.id == call; });
    if (found == calls_.end())
        return std::nullopt;
    const auto taken = *found;
    calls_.erase(found);
    return taken;
}

bool StoreFollower::Calls::hasRecent(TimePoint now) const
{
    return !calls_.empty() && now - calls_.back().startedAt <= callTimeout;
}

} // namespace Ibisturn
