#include <LibDecision/Configuration/StoreFollower.h>

#include <algorithm>

namespace Ibisturn {

namespace {

constexpr Duration headPeriod = std::chrono::seconds(1);
/// How long the watch may lag behind the head before the records are read again.
constexpr Duration headGrace = std::chrono::milliseconds(300);
/// After this long without an answer, a call no longer delays the next one.
constexpr Duration callPatience = std::chrono::milliseconds(1500);
constexpr std::size_t mostCalls = 4;
constexpr Duration firstRetry = std::chrono::milliseconds(200);
constexpr std::uint32_t mostDoublings = 1;

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
    if (wantsRead && needsRead_ && !reads_.isAnyInTime(now) && now >= nextRead_) {
        const auto call = begin(now);
        reads_.add(call);
        actions.emplace_back(ReadStore { call.id });
    }
    if (interest_ != StoreInterest::Watch)
        return actions;
    if (!needsRead_ && !watch_ && now >= nextRead_) {
        watch_ = begin(now);
        actions.emplace_back(WatchStore { watch_->id, position_ });
    }
    if (!headReads_.isAnyInTime(now) && now >= nextHead_) {
        const auto call = begin(now);
        headReads_.add(call);
        nextHead_ = now + headPeriod;
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
    noteCurrent(taken->begun);
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
        noteCurrent(taken->begun);
        aheadHead_.reset();
        return true;
    }
    if (aheadHead_ && inForce < *aheadHead_) {
        needsRead_ = true;
        nextRead_ = std::min(nextRead_, now);
        aheadHead_.reset();
        // The watch skipped a change or is stalled, so it is replaced.
        watch_.reset();
        return true;
    }
    aheadHead_ = head;
    nextHead_ = now + headGrace;
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
        fail(now);
    }
    if (reads_.take(call))
        fail(now);
    if (headReads_.take(call))
        nextHead_ = std::max(nextHead_, now + firstRetry);
}

StoreFollower::Call StoreFollower::begin(TimePoint now)
{
    return { StoreCallId(++lastCall_), now };
}

void StoreFollower::noteCurrent(TimePoint at)
{
    currentAsOf_ = std::max(currentAsOf_.value_or(at), at);
}

void StoreFollower::fail(TimePoint now)
{
    const auto pause = firstRetry * (1 << std::min(failures_, mostDoublings));
    ++failures_;
    nextRead_ = now + pause;
}

void StoreFollower::Calls::add(const Call& call)
{
    calls_.push_back(call);
    if (calls_.size() > mostCalls)
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

bool StoreFollower::Calls::isAnyInTime(TimePoint now) const
{
    return !calls_.empty() && now - calls_.back().begun <= callPatience;
}

} // namespace Ibisturn
