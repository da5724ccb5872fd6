#pragma once

#include <LibDecision/Allowance/DemandEstimate.h>
#include <LibDecision/Allowance/LoanTable.h>
#include <LibDecision/Allowance/ReservedShare.h>

#include <deque>
#include <map>
#include <variant>
#include <vector>

namespace Ibisturn {

/// Identifies the reservation of one request within a process.
using ReservationId = Quantity<struct ReservationTag, std::uint64_t>;

/// Send the loan request to `lender`.
struct SendLoanRequest {
    InstanceId lender;
    LoanRequest request;
};

/// Send the grant to its borrower.
struct SendLoanGrant {
    LoanGrant grant;
};

/// Send the recall to its borrower.
struct SendLoanRecall {
    LoanRecall recall;
};

/// Return a loan to its lender.
struct SendLoanReturn {
    LoanReturn loan;
};

/// Send the refund of unused reservations to the lender.
struct SendLoanRefund {
    LoanRefund refund;
};

/// The request may be dispatched now; its tokens are charged.
struct AdmitReservation {
    ReservationId id;
};

/// Refuse the request, which has not run.
struct RefuseReservation {
    ReservationId id;
    Duration retryAfter;
};

using AllowanceAction = std::variant<SendLoanRequest, SendLoanGrant, SendLoanRecall, SendLoanReturn, SendLoanRefund, AdmitReservation, RefuseReservation>;
using AllowanceActions = std::vector<AllowanceAction>;

/// One instance's settings for one workspace's allowance.
struct AllowanceSettings {
    WorkspaceId workspace;
    InstanceProcess self;
    /// The other instances that have a share of it.
    std::vector<InstanceId> lenders;
    /// The total allowance of all instances.
    BucketLimits fleet;
    /// This instance's reserved share; zero if it has none.
    BucketLimits share;
    LendingLimits lending;
    /// How long a request waits for tokens before it is refused.
    Duration maxWait;
};

/// Admits the requests of one workspace at one instance. Spends the reserved share and borrowed tokens, borrows missing
/// tokens from other instances and lends to those that need them more.
/// The bound applies to every interval and counts each request admitted in it by its reservation or, once the request
/// is settled, by its usage.
/// Thread safety: one thread at a time.
class WorkspaceAllowance {
public:
    /// Precondition: `ownership` is of this instance's address and outlives the object.
    WorkspaceAllowance(AllowanceSettings settings, const AddressOwnership& ownership);

    /// Admits a request that may use `amount`, refuses it, or queues it until a later action admits or refuses it.
    /// Precondition: `id` is new; `now` was read for this call.
    AllowanceActions reserve(ReservationId id, TokenAmount amount, TimePoint now);

    /// Replaces a reservation by the actual usage. Without this call it stays charged in full. Unknown ids are ignored.
    AllowanceActions settle(ReservationId id, TokenAmount used, TimePoint now);

    /// Drops a reservation whose usage will never be known, or a waiting request whose caller disconnected.
    void abandon(ReservationId id);

    /// Applies a changed record.
    void setLimits(BucketLimits fleet, BucketLimits share, TimePoint now);

    /// Handle messages from other instances. Those addressed to an earlier process are ignored.
    AllowanceActions receive(const LoanRequest& request, TimePoint now);
    AllowanceActions receive(const LoanGrant& grant, TimePoint now);
    AllowanceActions receive(const LoanReturn& loan, TimePoint now);
    AllowanceActions receive(const LoanRecall& recall, TimePoint now);
    AllowanceActions receive(const LoanRefund& refund, TimePoint now);

    /// Refuses requests that waited too long, extends loans and returns unused ones. To be called about ten times a second
    /// while isActive().
    AllowanceActions tick(TimePoint now);

    /// Whether tick() has to be called.
    bool isActive() const { return !waiting_.empty() || !loans_.isEmpty(); }

    /// Tokens that could be spent here at the time of the last call.
    TokenAmount spendable() const { return share_.spendable() + loans_.spendable(); }

private:
    /// The part of a reservation taken from one bucket; the loan's number is zero for the reserved share.
    struct ReservationPart {
        LoanWithdrawal loan;
        OwnershipEpoch epoch;
        TokenAmount amount;
    };

    struct Reservation {
        TokenAmount amount;
        std::vector<ReservationPart> parts;
    };

    struct WaitingRequest {
        ReservationId id;
        TokenAmount amount;
        TimePoint refuseAt;
    };

    void advance(TimePoint now);
    void admitWaiting(AllowanceActions& actions, TimePoint now);
    void requestLoans(AllowanceActions& actions, TimePoint now);
    void recallLoans(AllowanceActions& actions, const InstanceProcess& except, TimePoint now);
    void returnLoans(AllowanceActions& actions, const std::vector<InstanceProcess>& lenders);
    bool isIdle(const LoanTable::Loan& loan, TimePoint now) const;
    bool shouldRequestLoan(const InstanceId& lender, TimePoint now) const;
    bool needsTokens(TimePoint now) const;
    Urgency urgency() const;
    void charge(ReservationId id, TokenAmount amount);
    void putBack(AllowanceActions& actions, const ReservationPart& part, TokenAmount amount);
    TokenAmount borrowAheadTarget(TimePoint now) const;
    TokenAmount shortfall(TimePoint now) const;
    Duration retryAfter(TokenAmount amount) const;

    AllowanceSettings settings_;
    ReservedShare share_;
    LoanTable loans_;
    DemandEstimate demand_;
    TimePoint lastRecallAt_ { TimePoint::min() };
    std::map<ReservationId, Reservation> reservations_;
    std::deque<WaitingRequest> waiting_;
};

} // namespace Ibisturn
