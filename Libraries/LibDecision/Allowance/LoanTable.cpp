#include <LibDecision/Allowance/LoanTable.h>

#include <LibDecision/Allowance/DriftBound.h>

#include <algorithm>

namespace Ibisturn {

namespace {

using namespace std::chrono_literals;

/// How long a returned loan is kept, so that tokens that its reservations did not use can be refunded.
constexpr Duration refundPeriod = 60s;

} // namespace

LoanTable::LoanTable(Duration term)
    : term_(term)
{
}

void LoanTable::advance(TimePoint now)
{
    std::erase_if(loans_, [now](const auto& entry) { return entry.second.end <= now; });
    for (auto& [lender, loan] : loans_)
        loan.bucket.advance(now);
    while (!returnedLoans_.empty() && returnedLoans_.front().loan.end + refundPeriod <= now)
        returnedLoans_.pop_front();
}

std::optional<LoanRefund> LoanTable::putBack(const LoanWithdrawal& withdrawal, TokenAmount amount)
{
    const auto isLoan = [&withdrawal](const auto& entry) { return entry.second.number == withdrawal.loan; };
    const auto loan = std::find_if(loans_.begin(), loans_.end(), isLoan);
    if (loan != loans_.end()) {
        loan->second.bucket.putBack(withdrawal.number, amount);
        return std::nullopt;
    }
    const auto isReturned = [&withdrawal](const ReturnedLoan& entry) { return entry.loan.number == withdrawal.loan; };
    const auto returned = std::find_if(returnedLoans_.begin(), returnedLoans_.end(), isReturned);
    if (returned == returnedLoans_.end())
        return std::nullopt;
    auto& bucket = returned->loan.bucket;
    const auto before = bucket.level();
    bucket.putBack(withdrawal.number, amount);
    returned->refunded += bucket.level() - before;
    return LoanRefund { {}, returned->lender, {}, returned->loan.lastGrantedRequest, returned->refunded };
}

LoanRequestNumber LoanTable::beginRequest(const InstanceId& lender, TokenAmount headroom, TimePoint now)
{
    auto& request = requests_[lender];
    request.number = LoanRequestNumber(nextRequest_++);
    request.sentAt = now;
    request.headroom = headroom;
    request.isPending = true;
    return request.number;
}

TokenAmount LoanTable::endRequest(const InstanceId& lender)
{
    const auto found = requests_.find(lender);
    if (found == requests_.end() || !found->second.isPending)
        return {};
    auto& request = found->second;
    request.isPending = false;
    // Counted as failed until a grant arrives: without an answer, the lender may be unreachable.
    ++request.consecutiveFailures;
    return request.headroom;
}

TokenAmount LoanTable::endRequestsBefore(TimePoint before)
{
    TokenAmount headroom;
    for (const auto& [lender, request] : requests_) {
        if (request.isPending && request.sentAt < before)
            headroom += endRequest(lender);
    }
    return headroom;
}

bool LoanTable::isRequestPending(const InstanceId& lender) const
{
    const auto found = requests_.find(lender);
    return found != requests_.end() && found->second.isPending;
}

TimePoint LoanTable::lastRequestAt(const InstanceId& lender) const
{
    const auto found = requests_.find(lender);
    return found == requests_.end() ? TimePoint::min() : found->second.sentAt;
}

bool LoanTable::isAwaited(const LoanGrant& grant) const
{
    const auto request = requests_.find(grant.lender.instance);
    return request != requests_.end() && request->second.isPending && request->second.number == grant.number;
}

void LoanTable::accept(const LoanGrant& grant, TimePoint now)
{
    auto& request = requests_.at(grant.lender.instance);
    const bool isFailed = (grant.transferred + grant.lent).count() < 1;
    request.isPending = false;
    // endRequest() has already counted the request as failed.
    if (!isFailed)
        request.consecutiveFailures = 0;
    const TimePoint end = request.sentAt + shortenedByDrift(term_);
    if (grant.capacity <= TokenAmount() || end <= now)
        return;
    const BucketLimits limits { {}, grant.capacity };
    auto found = loans_.find(grant.lender);
    if (found == loans_.end())
        found = loans_.emplace(grant.lender, Loan { LoanNumber(nextLoan_++), grant.number, TokenBucket(limits, now), now, end }).first;
    auto& loan = found->second;
    loan.lastGrantedRequest = grant.number;
    loan.end = end;
    loan.bucket.setLimits(limits);
    loan.bucket.deposit(grant.lent);
}

std::optional<LoanReturn> LoanTable::returnLoan(const WorkspaceId& workspace, const InstanceProcess& self, const InstanceProcess& lender)
{
    const auto found = loans_.find(lender);
    if (found == loans_.end() || isRequestPending(lender.instance))
        return std::nullopt;
    auto& loan = found->second;
    LoanReturn result { workspace, lender, self, loan.lastGrantedRequest, std::max(TokenAmount(), loan.bucket.level()) };
    returnedLoans_.push_back({ lender, std::move(found->second), {} });
    loans_.erase(found);
    return result;
}

const LoanTable::Loan* LoanTable::findLoan(const InstanceProcess& lender) const
{
    const auto found = loans_.find(lender);
    return found == loans_.end() ? nullptr : &found->second;
}

std::uint32_t LoanTable::consecutiveFailures(const InstanceId& lender) const
{
    const auto found = requests_.find(lender);
    return found == requests_.end() ? 0 : found->second.consecutiveFailures;
}

TokenAmount LoanTable::spendable() const
{
    TokenAmount sum;
    for (const auto& [lender, loan] : loans_)
        sum += std::max(TokenAmount(), loan.bucket.level());
    return sum;
}

TokenAmount LoanTable::capacity() const
{
    TokenAmount sum;
    for (const auto& [lender, loan] : loans_)
        sum += loan.bucket.limits().capacity;
    return sum;
}

} // namespace Ibisturn
