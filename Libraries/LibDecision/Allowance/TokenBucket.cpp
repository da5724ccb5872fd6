#include <LibDecision/Allowance/TokenBucket.h>

#include <algorithm>

namespace Ibisturn {

namespace {

constexpr std::size_t maxMarks = 1024;
/// Headrooms that differ by less than this fraction of the capacity are merged into one mark.
constexpr double markStep = 1.0 / 256;

double secondsOf(Duration duration)
{
    return std::chrono::duration<double>(duration).count();
}

} // namespace

TokenBucket::TokenBucket(BucketLimits limits, TimePoint start)
    : limits_(limits)
    , advancedTo_(start)
{
}

void TokenBucket::advance(TimePoint now)
{
    if (now <= advancedTo_)
        return;
    // With a clock that is fast by the drift bound, the refill still doesn't exceed the rate in true time.
    const double refill = limits_.rate.count() / (1 + clockDriftBound) * secondsOf(now - advancedTo_);
    level_ = std::min(limits_.capacity.count(), level_ + refill);
    advancedTo_ = now;
    recordHeadroom();
}

void TokenBucket::setLimits(BucketLimits limits)
{
    limits_ = limits;
    level_ = std::min(level_, limits_.capacity.count());
    recordHeadroom();
}

void TokenBucket::deposit(TokenAmount amount)
{
    level_ = std::min(limits_.capacity.count(), level_ + amount.count());
    recordHeadroom();
}

WithdrawalNumber TokenBucket::withdraw(TokenAmount amount)
{
    level_ -= amount.count();
    return WithdrawalNumber(nextWithdrawal_++);
}

void TokenBucket::putBack(WithdrawalNumber number, TokenAmount amount)
{
    recordHeadroom();
    const double restored = std::clamp(headroomSince(number), 0.0, amount.count());
    level_ += restored;
    putBackTotal_ += amount.count();
    recordHeadroom();
}

void TokenBucket::recordHeadroom()
{
    // Everything put back counts against the headroom of earlier times, as if it had never been withdrawn.
    const double headroom = limits_.capacity.count() - level_ + putBackTotal_;
    while (!marks_.empty() && marks_.back().headroom >= headroom)
        marks_.pop_back();
    // Nearly the same headroom as before: the lower one is used for both, which errs towards dropping tokens.
    if (!marks_.empty() && headroom - marks_.back().headroom < markStep * limits_.capacity.count()) {
        marks_.back().nextWithdrawal = nextWithdrawal_;
        return;
    }
    marks_.push_back({ nextWithdrawal_, headroom });
    if (marks_.size() <= maxMarks)
        return;
    discardedBefore_ = marks_.front().nextWithdrawal;
    marks_.pop_front();
}

double TokenBucket::headroomSince(WithdrawalNumber number) const
{
    const auto isAfter = [](std::uint64_t withdrawal, const HeadroomMark& mark) { return withdrawal < mark.nextWithdrawal; };
    const auto found = std::upper_bound(marks_.begin(), marks_.end(), number.count(), isAfter);
    if (found == marks_.end() || number.count() < discardedBefore_)
        return 0;
    return found->headroom - putBackTotal_;
}

} // namespace Ibisturn
