#pragma once

#include <LibDecision/Allowance/AddressOwnership.h>
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
class ReservedShare {
public:
    /// `fullLimits` are the limits of the share with nothing lent. Precondition: `ownership` outlives the share.
    ReservedShare(BucketLimits fullLimits, LendingLimits lending, const AddressOwnership& ownership);

    /// Refills the share, expires loans and, when the address has a new owner, starts empty. To be called before any other
    /// method.
    void advance(TimePoint now);

    /// Applies a changed record of the workspace.
    void setFullLimits(BucketLimits fullLimits);

    /// Whether tokens of the share may be spent or lent at the time of the last advance().
    bool isOwned() const { return isOwned_; }

    /// Tokens that can be spent now; zero unless isOwned().
    TokenAmount spendable() const;

    /// Deducts the tokens granted to `request`. `demand` is the demand of this instance's own callers.
    LoanGrant lend(const LoanRequest& request, InstanceProcess self, TokensPerSecond demand, TimePoint now);

    /// The headroom that can be reserved for tokens of others, besides that for unused reservations.
    TokenAmount spareHeadroom() const;

    /// Reserves headroom for requested tokens. Precondition: it does not exceed spareHeadroom().
    void reserveHeadroom(TokenAmount headroom);

    /// Releases reserved headroom and deposits the tokens transferred into it. Precondition: they do not exceed it.
    void releaseHeadroom(TokenAmount headroom, TokenAmount transferred);

    /// The processes to which part of the share is lent, without `except`.
    std::vector<InstanceProcess> borrowers(const InstanceProcess& except) const;

    /// Handles the return of a loan; unknown, outdated and duplicate returns are ignored.
    void acceptReturn(const LoanReturn& loan);

    /// Puts back tokens of a returned loan that its reservations did not use.
    void acceptRefund(const LoanRefund& refund);

    /// The bucket, for withdrawals. Precondition for spending from it: isOwned().
    TokenBucket& bucket() { return bucket_; }

    /// The current rate and capacity, without what is lent; zero unless isOwned().
    BucketLimits limits() const { return isOwned_ ? bucket_.limits() : BucketLimits {}; }

    /// Identifies the bucket: each new ownership period starts another one.
    OwnershipEpoch epoch() const { return epoch_; }

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
        OwnershipEpoch epoch;
        WithdrawalNumber withdrawal;
        /// The maximum that can be refunded: the loan's capacity minus the returned tokens.
        TokenAmount maxRefund;
        TokenAmount refunded;
        TimePoint expiresAt;
    };

    void refill(TimePoint now);
    void expireReturnedLoans(TimePoint now);
    TokenAmount totalLent() const;
    void applyLimits();
    void expireLoans(TimePoint now);

    BucketLimits fullLimits_;
    LendingLimits lending_;
    const AddressOwnership& ownership_;
    OwnershipEpoch epoch_;
    bool isOwned_ { false };
    TokenAmount reservedHeadroom_;
    TokenBucket bucket_;
    std::map<InstanceProcess, Lending> lendings_;
    std::deque<ReturnedLoan> returnedLoans_;
};

} // namespace Ibisturn
