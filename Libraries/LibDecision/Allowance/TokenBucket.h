#pragma once

#include <LibCore/Clock.h>
#include <LibCore/Quantity.h>

#include <cstdint>
#include <deque>

namespace Ibisturn {

/// A possibly fractional number of tokens, since buckets refill continuously.
using TokenAmount = Quantity<struct TokenAmountTag, double>;

/// The maximum relative deviation of the rate of an instance's clock from true time.
constexpr double clockDriftBound = 200e-6;

/// The refill rate and capacity of a bucket.
struct BucketLimits {
    TokensPerSecond rate;
    TokenAmount capacity;
};

/// Identifies one withdrawal from a bucket, so that part of it can be put back.
using WithdrawalNumber = Quantity<struct WithdrawalTag, std::uint64_t>;

/// A token bucket that refills slowly enough for its bound to hold in true time despite clock drift.
/// Tokens that are put back never let an interval exceed the bound: they are treated as if they had never been
/// withdrawn, and those that would have overflowed in between are dropped.
/// Thread safety: one thread at a time.
class TokenBucket {
public:
    /// Starts empty at `start`.
    TokenBucket(BucketLimits limits, TimePoint start);

    /// Refills up to `now`; a time before the last one has no effect.
    void advance(TimePoint now);

    /// Sets rate and capacity from the last advance() on; tokens beyond the capacity are dropped.
    void setLimits(BucketLimits limits);

    /// Adds tokens withdrawn from another bucket; those beyond the capacity are dropped.
    void deposit(TokenAmount amount);

    /// Takes `amount`. Precondition: it does not exceed level().
    WithdrawalNumber withdraw(TokenAmount amount);

    /// Puts back `amount` of the withdrawal `number`. Precondition: it was part of that withdrawal and not yet put back.
    void putBack(WithdrawalNumber number, TokenAmount amount);

    /// Takes `amount` even if the level becomes negative, for usage beyond a reservation.
    void charge(TokenAmount amount) { level_ -= amount.count(); }

    TokenAmount level() const { return TokenAmount(level_); }
    const BucketLimits& limits() const { return limits_; }

private:
    /// The minimum headroom since a withdrawal, plus the total that had been put back when it was recorded.
    struct HeadroomMark {
        std::uint64_t nextWithdrawal;
        double headroom;
    };

    void recordHeadroom();
    double headroomSince(WithdrawalNumber number) const;

    BucketLimits limits_;
    double level_ { 0 };
    TimePoint advancedTo_;
    std::uint64_t nextWithdrawal_ { 0 };
    double putBackTotal_ { 0 };
    /// Withdrawals before this one can no longer be put back.
    std::uint64_t discardedBefore_ { 0 };
    /// Ascending in both members.
    std::deque<HeadroomMark> marks_;
};

} // namespace Ibisturn
