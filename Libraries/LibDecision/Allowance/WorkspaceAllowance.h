#pragma once

#include <LibDecision/Allowance/DemandEstimate.h>
#include <LibDecision/Allowance/LoanBook.h>
#include <LibDecision/Allowance/StandingShare.h>

#include <deque>
#include <map>
#include <variant>
#include <vector>

namespace Ibisturn {

/// Names one request's reservation within a process.
using ReservationId = Quantity<struct ReservationTag, std::uint64_t>;

/// Send the request for a loan to `lender`.
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

/// Send what is left of a loan to its lender.
struct SendLoanReturn {
    LoanReturn loan;
};

/// Send what a loan's reservations did not use to its lender.
struct SendLoanRefund {
    LoanRefund refund;
};

/// The request may be dispatched now; the tokens are charged.
struct AdmitReservation {
    ReservationId id;
};

/// Refuse the request; it has not run.
struct RefuseReservation {
    ReservationId id;
    Duration retryAfter;
};

using AllowanceAction = std::variant<SendLoanRequest, SendLoanGrant, SendLoanRecall, SendLoanReturn, SendLoanRefund, AdmitReservation, RefuseReservation>;
using AllowanceActions = std::vector<AllowanceAction>;

/// What one instance knows of one workspace's allowance.
struct AllowanceSettings {
    WorkspaceId workspace;
    InstanceProcess self;
    /// The instances that hold a share of it, without this one.
    std::vector<InstanceId> lenders;
    /// The whole allowance, of all instances together.
    BucketLimits fleet;
    /// This instance's standing share; zero if it holds none.
    BucketLimits share;
    LendingLimits lending;
    /// The longest that a request waits for tokens before it is refused.
    Duration longestWait;
};

/// Admits the requests of one workspace at one instance. Spends its standing share and what it borrowed, asks
/// others for what it lacks and lends to them what they need more.
/// What is counted over every interval is the reservation of each request admitted in it, and once the request
/// settled, its usage in place of the reservation.
/// Thread safety: one thread at a time.
class WorkspaceAllowance {
public:
    /// Precondition: `tenure` is that of this instance's address and outlives the object.
    WorkspaceAllowance(AllowanceSettings settings, const AddressTenure& tenure);

    /// Admits a request that may take `amount`, refuses it, or keeps it waiting until later actions name it.
    /// Precondition: `id` is new; `now` was read for this call.
    AllowanceActions reserve(ReservationId id, TokenAmount amount, TimePoint now);

    /// Replaces a reservation by the usage. Without this call it stays charged in full. Unknown ids are ignored.
    AllowanceActions settle(ReservationId id, TokenAmount used, TimePoint now);

    /// Forgets a reservation whose usage will never be known, or a request that waits and whose caller is gone.
    void abandon(ReservationId id);

    /// Takes a changed record into force.
    void setLimits(BucketLimits fleet, BucketLimits share, TimePoint now);

    /// Messages from other instances. Those meant for an earlier process change nothing.
    AllowanceActions receive(const LoanRequest& request, TimePoint now);
    AllowanceActions receive(const LoanGrant& grant, TimePoint now);
    AllowanceActions receive(const LoanReturn& loan, TimePoint now);
    AllowanceActions receive(const LoanRecall& recall, TimePoint now);
    AllowanceActions receive(const LoanRefund& refund, TimePoint now);

    /// Refuses what waited too long, extends loans and gives back unused ones. To be called about ten times a second
    /// while isActive().
    AllowanceActions tick(TimePoint now);

    /// Whether tick() has something to do.
    bool isActive() const { return !waiting_.empty() || !loans_.isEmpty(); }

    /// What can be spent here at the time of the last call.
    TokenAmount spendable() const { return share_.spendable() + loans_.spendable(); }

private:
    /// What one bucket gave to a reservation; the loan's number is zero for the standing share.
    struct Part {
        LoanWithdrawal loan;
        TenureNumber tenure;
        TokenAmount amount;
    };

    struct Reservation {
        TokenAmount amount;
        std::vector<Part> parts;
    };

    struct Waiting {
        ReservationId id;
        TokenAmount amount;
        TimePoint refuseAt;
    };

    void advance(TimePoint now);
    void admitWaiting(AllowanceActions& actions, TimePoint now);
    void askLenders(AllowanceActions& actions, TimePoint now);
    void recallLoans(AllowanceActions& actions, const InstanceProcess& except, TimePoint now);
    void giveBack(AllowanceActions& actions, const std::vector<InstanceProcess>& lenders);
    bool isIdle(const LoanBook::Loan& loan, TimePoint now) const;
    bool shouldAsk(const InstanceId& lender, TimePoint now) const;
    bool needsMore(TimePoint now) const;
    Urgency urgency() const;
    void charge(ReservationId id, TokenAmount amount);
    void putBack(AllowanceActions& actions, const Part& part, TokenAmount amount);
    TokenAmount reserveWithoutShare(TimePoint now) const;
    TokenAmount shortfall(TimePoint now) const;
    Duration retryAfter(TokenAmount amount) const;

    AllowanceSettings settings_;
    StandingShare share_;
    LoanBook loans_;
    DemandEstimate demand_;
    TimePoint recalledAt_ { TimePoint::min() };
    std::map<ReservationId, Reservation> reservations_;
    std::deque<Waiting> waiting_;
};

} // namespace Ibisturn
