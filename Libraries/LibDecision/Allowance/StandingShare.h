#pragma once

#include <LibDecision/Allowance/AddressTenure.h>
#include <LibDecision/Allowance/AllowanceMessages.h>

#include <deque>
#include <map>
#include <vector>

namespace Ibisturn {

/// Parameters of loans.
struct LendingLimits {
    /// The duration of a loan, measured from before its request was sent.
    Duration term;
};

/// The part of a workspace's allowance that is reserved for one instance's address. Its rate is never transferred.
/// Tokens reach other instances in two ways, and in both they are deducted from the share before they are sent. Tokens
/// that fit in the headroom that the receiver reserved for them are transferred permanently. Tokens beyond it are lent:
/// they reduce the share's capacity until the loan expires or the borrower returns it.
/// Thread safety: one thread at a time.
class StandingShare {
public:
    /// `whole` are the limits of the share with nothing lent. Precondition: `tenure` outlives the share.
    StandingShare(BucketLimits whole, LendingLimits lending, const AddressTenure& tenure);

    /// Refills the share, expires loans and, when the address has a new owner, starts empty. To be called before any other
    /// method.
    void advance(TimePoint now);

    /// Applies a changed record of the workspace.
    void setWhole(BucketLimits whole);

    /// Whether tokens of the share may be spent or lent at the time of the last advance().
    bool isHeld() const { return isHeld_; }

    /// Tokens that can be spent now; zero unless isHeld().
    TokenAmount spendable() const;

    /// Deducts the tokens granted to `request`. `demand` is the demand of this instance's own callers.
    LoanGrant lend(const LoanRequest& request, InstanceProcess self, TokensPerSecond demand, TimePoint now);

    /// The headroom that can be reserved for tokens of others, besides that for unused reservations.
    TokenAmount spareRoom() const;

    /// Reserves headroom for requested tokens. Precondition: it does not exceed spareRoom().
    void keepRoom(TokenAmount room);

    /// Releases reserved headroom and deposits the tokens transferred into it. Precondition: they do not exceed it.
    void fillRoom(TokenAmount room, TokenAmount moved);

    /// The processes to which part of the share is lent, without `except`.
    std::vector<InstanceProcess> borrowers(const InstanceProcess& except) const;

    /// Handles the return of a loan; unknown, outdated and duplicate returns are ignored.
    void takeBack(const LoanReturn& loan);

    /// Puts back tokens of a returned loan that its reservations did not use.
    void takeRefund(const LoanRefund& refund);

    /// The bucket, for withdrawals. Precondition for spending from it: isHeld().
    TokenBucket& bucket() { return bucket_; }

    /// The current rate and capacity, without what is lent; zero unless isHeld().
    BucketLimits limits() const { return isHeld_ ? bucket_.limits() : BucketLimits {}; }

    /// Identifies the bucket: each new ownership period starts another one.
    TenureNumber tenure() const { return tenureNumber_; }

private:
    struct Lending {
        TokenAmount capacity;
        LoanRequestNumber number;
        TimePoint end;
    };

    /// A returned loan. Tokens refunded later are treated as if they had been part of the return.
    struct ReturnedLoan {
        InstanceProcess borrower;
        LoanRequestNumber number;
        TenureNumber tenure;
        WithdrawalNumber withdrawal;
        /// The maximum that can be refunded: the loan's capacity minus the returned tokens.
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
