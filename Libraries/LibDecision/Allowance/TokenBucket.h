#pragma once

#include <LibCore/Clock.h>
#include <LibCore/Quantity.h>

#include <cstdint>
#include <deque>

namespace Ibisturn {

/// An amount of tokens that may be a fraction, as buckets earn them.
using TokenAmount = Quantity<struct TokenAmountTag, double>;

/// The most by which the rate of an instance's clock differs from true time.
constexpr double clockDriftBound = 200e-6;

/// How much a bucket earns in a second, and how much it keeps.
struct BucketLimits {
    TokensPerSecond rate;
    TokenAmount capacity;
};

/// Names one withdrawal from a bucket, so that a part of it can be put back.
using WithdrawalNumber = Quantity<struct WithdrawalTag, std::uint64_t>;

/// A token bucket that earns slowly enough for its bound to hold in true time whatever its clock's drift.
/// What is put back never lets an interval exceed the bound: it counts as if it had never been taken, and what
/// would have overflowed in between is dropped.
/// Thread safety: one thread at a time.
class TokenBucket {
public:
    /// Starts empty at `start`.
    TokenBucket(BucketLimits limits, TimePoint start);

    /// Earns up to `now`; an earlier time than the last one changes nothing.
    void advance(TimePoint now);

    /// Sets what is earned and kept from the last advance() on; what exceeds the capacity is dropped.
    void setLimits(BucketLimits limits);

    /// Adds tokens that left another bucket; what exceeds the capacity is dropped.
    void deposit(TokenAmount amount);

    /// Takes `amount`. Precondition: it does not exceed level().
    WithdrawalNumber withdraw(TokenAmount amount);

    /// Puts back `amount` of the withdrawal `number`. Precondition: it was taken by it and not yet put back.
    void putBack(WithdrawalNumber number, TokenAmount amount);

    /// Takes `amount` even if the level gets negative, for usage beyond a reservation.
    void charge(TokenAmount amount) { level_ -= amount.count(); }

    TokenAmount level() const { return TokenAmount(level_); }
    const BucketLimits& limits() const { return limits_; }

private:
    /// The least headroom seen since a withdrawal, before which what was put back later is counted.
    struct HeadroomMark {
        std::uint64_t nextWithdrawal;
        double headroom;
    };

    void noteHeadroom();
    double headroomSince(WithdrawalNumber number) const;

    BucketLimits limits_;
    double level_ { 0 };
    TimePoint advancedTo_;
    std::uint64_t nextWithdrawal_ { 0 };
    double putBackTotal_ { 0 };
    /// Withdrawals before this one can no longer be put back.
    std::uint64_t forgottenBefore_ { 0 };
    /// Ascending in both members.
    std::deque<HeadroomMark> marks_;
};

} // namespace Ibisturn
