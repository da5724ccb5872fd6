#pragma once

#include <LibDecision/Allowance/AddressTenure.h>
#include <LibDecision/Allowance/AllowanceMessages.h>

#include <deque>
#include <map>
#include <vector>

namespace Ibisturn {

/// How long loans last.
struct LendingLimits {
    /// The length of a loan, counted from before its request was sent.
    Duration term;
};

/// The part of a workspace's allowance that belongs to one instance's address. Its rate is never another's.
/// Tokens go to other instances in two ways, and leave the share before they are sent in both. Those that fit in
/// room that the receiver kept empty for them move for good. Those beyond it are lent: the share's capacity is less
/// by them until the loan's end, or until the borrower gave it back.
/// Thread safety: one thread at a time.
class StandingShare {
public:
    /// `whole` is the share with nothing lent. Precondition: `tenure` outlives the share.
    StandingShare(BucketLimits whole, LendingLimits lending, const AddressTenure& tenure);

    /// Earns, ends loans and, in a new tenure, starts empty. Call it before any other method.
    void advance(TimePoint now);

    /// Takes a changed record of the workspace into force.
    void setWhole(BucketLimits whole);

    /// Whether tokens of the share may be spent or lent at the time of the last advance().
    bool isHeld() const { return isHeld_; }

    /// What can be spent now; nothing unless isHeld().
    TokenAmount spendable() const;

    /// Sets aside what `request` is given. `demand` is that of this instance's own callers.
    LoanGrant lend(const LoanRequest& request, InstanceProcess self, TokensPerSecond demand, TimePoint now);

    /// The room that the share can keep empty for tokens of others, beside that for what reservations do not use.
    TokenAmount spareRoom() const;

    /// Keeps room empty for tokens that are asked for. Precondition: it does not exceed spareRoom().
    void keepRoom(TokenAmount room);

    /// Ends the keeping of `room`, and takes the tokens that moved into it. Precondition: they are no more than it.
    void fillRoom(TokenAmount room, TokenAmount moved);

    /// The processes that part of the share is lent to, without `except`.
    std::vector<InstanceProcess> borrowers(const InstanceProcess& except) const;

    /// Takes back what a borrower gave back; an unknown, old or second return changes nothing.
    void takeBack(const LoanReturn& loan);

    /// Puts back what a loan's reservations did not use after the borrower gave the loan back.
    void takeRefund(const LoanRefund& refund);

    /// The bucket, for withdrawals. Precondition of spending from it: isHeld().
    TokenBucket& bucket() { return bucket_; }

    /// What the share earns and keeps now, without what is lent; nothing unless isHeld().
    BucketLimits limits() const { return isHeld_ ? bucket_.limits() : BucketLimits {}; }

    /// Which bucket this is: a new tenure starts another one.
    TenureNumber tenure() const { return tenureNumber_; }

private:
    struct Lending {
        TokenAmount capacity;
        LoanRequestNumber number;
        TimePoint end;
    };

    /// A loan that was given back. What was not used of it counts as if it had come back with it.
    struct ReturnedLoan {
        InstanceProcess borrower;
        LoanRequestNumber number;
        TenureNumber tenure;
        WithdrawalNumber withdrawal;
        /// The most that can have been left of the loan beyond what came back.
        TokenAmount most;
        TokenAmount refunded;
        TimePoint forgetAt;
    };

    void earn(TimePoint now);
    void forgetReturns(TimePoint now);
    TokenAmount lentInAll() const;
    void applyLimits();
    void endLoans(TimePoint now);

    BucketLimits whole_;
    LendingLimits lending_;
    const AddressTenure& tenure_;
    TenureNumber tenureNumber_;
    bool isHeld_ { false };
    TokenAmount keptRoom_;
    TokenBucket bucket_;
    std::map<InstanceProcess, Lending> lendings_;
    std::deque<ReturnedLoan> returned_;
};

} // namespace Ibisturn
