#pragma once

#include <LibCore/Identifier.h>
#include <LibDecision/Allowance/TokenBucket.h>

#include <compare>
#include <cstdint>

namespace Ibisturn {

/// One process of an instance.
struct InstanceProcess {
    InstanceId instance;
    Incarnation incarnation;

    auto operator<=>(const InstanceProcess&) const = default;
};

/// Numbers the loan requests of one process; a later one supersedes an earlier one to the same lender.
using LoanRequestNumber = Quantity<struct LoanRequestTag, std::uint64_t>;

enum class Urgency : std::uint8_t {
    /// Give what would soon overflow.
    Surplus,
    /// Give as the demand of both has it.
    Balance,
};

/// Asks the holder of a share for tokens.
struct LoanRequest {
    WorkspaceId workspace;
    InstanceProcess borrower;
    LoanRequestNumber number;
    /// What the borrower's callers ask for.
    TokensPerSecond demand;
    /// What the borrower can spend now.
    TokenAmount level;
    /// Whether the borrower has so little that it is given more than what the lender's share can't hold.
    Urgency urgency { Urgency::Surplus };
    /// Room in the borrower's own share that it keeps empty until the answer: that many tokens can move for good.
    TokenAmount room;
    /// What waiting requests lack, or what an instance without a share needs for the next seconds.
    TokenAmount shortfall;
};

/// What the lender gave. Both kinds of tokens have left its share.
struct LoanGrant {
    WorkspaceId workspace;
    InstanceProcess lender;
    InstanceProcess borrower;
    LoanRequestNumber number;
    /// Tokens that move into the room that the request named.
    TokenAmount moved;
    /// Tokens that are lent from the sending of the request for the term of loans.
    TokenAmount lent;
    /// All that is lent to the borrower, the lent tokens of earlier grants included, whether spent or not. Zero if
    /// no tokens are lent by this grant; an earlier loan then stays as it is.
    TokenAmount capacity;
};

/// Asks a borrower to give back what it does not need, since others lack it.
struct LoanRecall {
    WorkspaceId workspace;
    InstanceProcess lender;
    InstanceProcess borrower;
};

/// Gives a loan back before its end, with the tokens that are left of it.
struct LoanReturn {
    WorkspaceId workspace;
    InstanceProcess lender;
    InstanceProcess borrower;
    /// The last request that was granted to the borrower.
    LoanRequestNumber number;
    TokenAmount tokens;
};

/// Tells the lender what reservations that a loan had paid did not use, after the loan was given back.
struct LoanRefund {
    WorkspaceId workspace;
    InstanceProcess lender;
    InstanceProcess borrower;
    /// The number with which the loan was given back.
    LoanRequestNumber number;
    /// All that was not used so far, so that a lost or second message does no harm.
    TokenAmount total;
};

} // namespace Ibisturn
