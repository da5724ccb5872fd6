#pragma once

#include <LibDecision/Allowance/AllowanceMessages.h>

#include <deque>
#include <map>
#include <optional>
#include <vector>

namespace Ibisturn {

/// Identifies one loan of a process for its duration.
using LoanNumber = Quantity<struct LoanTag, std::uint64_t>;

/// One withdrawal from one loan.
struct LoanWithdrawal {
    LoanNumber loan;
    WithdrawalNumber number;
};

/// The loans from other instances to this one for one workspace. Each loan is a separate bucket. It expires here before
/// it does at the lender, since its term is measured from before the request was sent and shortened by the clock drift.
/// Thread safety: one thread at a time.
class LoanTable {
public:
    /// One loan, which is extended by further grants from the same lender process.
    struct Loan {
        LoanNumber number;
        LoanRequestNumber lastGrantedRequest;
        TokenBucket bucket;
        TimePoint begin;
        TimePoint end;
    };

    using Loans = std::map<InstanceProcess, Loan>;

    /// `term` is the loan term that lenders use.
    explicit LoanTable(Duration term);

    /// Advances the buckets and drops expired loans. To be called before any other method.
    void advance(TimePoint now);

    /// Numbers a request to `lender` that is about to be sent, for which `headroom` is reserved in the own share.
    /// Precondition: `now` was read before sending, and an earlier request was ended by endRequest().
    LoanRequestNumber beginRequest(const InstanceId& lender, TokenAmount headroom, TimePoint now);

    /// Ends the pending request to `lender`, if any, and returns the headroom that was reserved for it.
    TokenAmount endRequest(const InstanceId& lender);

    /// Ends the requests sent before `before`, whose answers are considered lost, and returns the headroom reserved for them.
    TokenAmount endRequestsBefore(TimePoint before);

    /// Whether a request to `lender` is unanswered.
    bool isRequestPending(const InstanceId& lender) const;

    /// The number of consecutive requests to `lender` that yielded no tokens.
    std::uint32_t consecutiveFailures(const InstanceId& lender) const;

    /// When a request was last sent to `lender`; TimePoint::min() if never.
    TimePoint lastRequestAt(const InstanceId& lender) const;

    /// Whether `grant` answers a pending request; the tokens of any other grant are lost.
    bool isAwaited(const LoanGrant& grant) const;

    /// Adds the lent tokens. Precondition: isAwaited(grant).
    void accept(const LoanGrant& grant, TimePoint now);

    /// Ends the loan from `lender` and returns what remains of it; nullopt if there is none, or if a request to the lender
    /// is pending, since the lender may be extending the loan.
    std::optional<LoanReturn> returnLoan(const WorkspaceId& workspace, const InstanceProcess& self, const InstanceProcess& lender);

    /// Tokens that can be spent now.
    TokenAmount spendable() const;

    /// The total capacity of the loans.
    TokenAmount capacity() const;

    /// The lenders whose loans satisfy `predicate`.
    template <typename Predicate>
    std::vector<InstanceProcess> lendersIf(Predicate predicate) const
    {
        std::vector<InstanceProcess> lenders;
        for (const auto& [lender, loan] : loans_) {
            if (predicate(loan))
                lenders.push_back(lender);
        }
        return lenders;
    }

    /// The loan from the process `lender`, or null.
    const Loan* findLoan(const InstanceProcess& lender) const;

    /// The current loans, for withdrawals.
    Loans& loans() { return loans_; }

    /// Whether there is no loan.
    bool isEmpty() const { return loans_.empty(); }

    /// Puts back tokens that a reservation did not use. If the loan was already returned, yields a refund to send to its
    /// lender, in which the caller fills in workspace and borrower. Tokens of an expired loan are lost.
    std::optional<LoanRefund> putBack(const LoanWithdrawal& withdrawal, TokenAmount amount);

private:
    struct ReturnedLoan {
        InstanceProcess lender;
        Loan loan;
        TokenAmount refunded;
    };

    struct Request {
        LoanRequestNumber number;
        TimePoint sentAt;
        std::uint32_t consecutiveFailures { 0 };
        TokenAmount headroom;
        bool isPending { false };
    };

    Duration term_;
    std::uint64_t nextRequest_ { 1 };
    std::uint64_t nextLoan_ { 1 };
    std::map<InstanceId, Request> requests_;
    Loans loans_;
    std::deque<ReturnedLoan> returnedLoans_;
};

} // namespace Ibisturn
