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
    /// Give only tokens that would soon overflow.
    Surplus,
    /// Divide the tokens of both in proportion to their demand.
    Balance,
};

/// Requests tokens from an instance that owns a share.
struct LoanRequest {
    WorkspaceId workspace;
    InstanceProcess borrower;
    LoanRequestNumber number;
    /// The demand of the borrower's callers.
    TokensPerSecond demand;
    /// What the borrower can spend now.
    TokenAmount level;
    /// Whether the borrower is so low on tokens that it gets more than the lender's surplus.
    Urgency urgency { Urgency::Surplus };
    /// Headroom that the borrower reserves in its own share until the answer: up to this many tokens can be transferred
    /// permanently.
    TokenAmount headroom;
    /// Tokens that waiting requests lack, or that an instance without a share needs for the next seconds.
    TokenAmount shortfall;
};

/// Tokens that the lender gave. Both kinds have already been deducted from its share.
struct LoanGrant {
    WorkspaceId workspace;
    InstanceProcess lender;
    InstanceProcess borrower;
    LoanRequestNumber number;
    /// Tokens transferred permanently into the headroom given in the request.
    TokenAmount transferred;
    /// Tokens lent for the term of loans, which starts when the request was sent.
    TokenAmount lent;
    /// Total lent to the borrower, including the tokens of earlier grants, whether spent or not. Zero if this grant
    /// lends no tokens; an earlier loan is then unchanged.
    TokenAmount capacity;
};

/// Requests that a borrower return tokens that it does not need, since other instances lack them.
struct LoanRecall {
    WorkspaceId workspace;
    InstanceProcess lender;
    InstanceProcess borrower;
};

/// Returns a loan before its end, with the remaining tokens.
struct LoanReturn {
    WorkspaceId workspace;
    InstanceProcess lender;
    InstanceProcess borrower;
    /// The borrower's last granted request.
    LoanRequestNumber number;
    TokenAmount tokens;
};

/// Reports to the lender the tokens of a returned loan that were reserved by requests but not used by them.
struct LoanRefund {
    WorkspaceId workspace;
    InstanceProcess lender;
    InstanceProcess borrower;
    /// The request number in the LoanReturn.
    LoanRequestNumber number;
    /// Cumulative unused tokens, so that lost and duplicate messages are harmless.
    TokenAmount total;
};

} // namespace Ibisturn
