#pragma once

#include <LibDecision/Allowance/AllowanceMessages.h>

#include <deque>
#include <map>
#include <optional>
#include <vector>

namespace Ibisturn {

/// Names one loan of a process for as long as it lasts.
using LoanNumber = Quantity<struct LoanTag, std::uint64_t>;

/// One withdrawal from one loan.
struct LoanWithdrawal {
    LoanNumber loan;
    WithdrawalNumber number;
};

/// What other instances lend to this one for one workspace. Each loan is a bucket of its own that ends, by this
/// process's clock and counted from before its request was sent, ahead of its end at the lender.
/// Thread safety: one thread at a time.
class LoanBook {
public:
    /// One loan, which is extended by further grants of the same process.
    struct Loan {
        LoanNumber number;
        LoanRequestNumber granted;
        TokenBucket bucket;
        TimePoint begin;
        TimePoint end;
    };

    using Loans = std::map<InstanceProcess, Loan>;

    /// `term` is that of the lenders.
    explicit LoanBook(Duration term);

    /// Earns, and drops the loans that ended. Call it before any other method.
    void advance(TimePoint now);

    /// Numbers a request to `lender` that is about to be sent, for which `room` of the own share is kept empty.
    /// Precondition: `now` was read before the sending, and endRequest() ended an earlier one.
    LoanRequestNumber beginRequest(const InstanceId& lender, TokenAmount room, TimePoint now);

    /// Stops waiting for the request to `lender`, if there is one, and returns the room that was kept for it.
    TokenAmount endRequest(const InstanceId& lender);

    /// Ends the requests sent before `before`, whose answers are taken as lost, and returns the room kept for them.
    TokenAmount endRequestsBefore(TimePoint before);

    /// Whether a request to `lender` is waited for.
    bool isRequestPending(const InstanceId& lender) const;

    /// How many requests to `lender` in a row brought no tokens.
    std::uint32_t vainRequests(const InstanceId& lender) const;

    /// When a request was last sent to `lender`; the beginning of time if never.
    TimePoint lastRequestAt(const InstanceId& lender) const;

    /// Whether a request waits for `grant`; the tokens of any other are lost.
    bool isAwaited(const LoanGrant& grant) const;

    /// Takes what was lent into use. Precondition: isAwaited(grant).
    void accept(const LoanGrant& grant, TimePoint now);

    /// Ends the loan of `lender` and says what is left of it; nothing if there is none, or a request to the lender is
    /// waited for, by which it may just be extending the loan.
    std::optional<LoanReturn> giveBack(const WorkspaceId& workspace, const InstanceProcess& self, const InstanceProcess& lender);

    /// What can be spent now.
    TokenAmount spendable() const;

    /// What the loans can hold together.
    TokenAmount capacity() const;

    /// The lenders whose loan satisfies `predicate`.
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

    /// The loan of the process `lender`, or null.
    const Loan* loanOf(const InstanceProcess& lender) const;

    /// The loans in use, for withdrawals.
    Loans& loans() { return loans_; }

    /// Whether there is no loan.
    bool isEmpty() const { return loans_.empty(); }

    /// Puts back what a reservation did not use. If the loan was given back, its lender is to be told; workspace and
    /// borrower are then left to be filled in. What was taken from a loan that ended is lost.
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
        std::uint32_t vain { 0 };
        TokenAmount room;
        bool isPending { false };
    };

    Duration term_;
    std::uint64_t nextRequest_ { 1 };
    std::uint64_t nextLoan_ { 1 };
    std::map<InstanceId, Request> requests_;
    Loans loans_;
    std::deque<ReturnedLoan> returned_;
};

} // namespace Ibisturn
