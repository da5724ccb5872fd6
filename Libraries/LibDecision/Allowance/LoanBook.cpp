#include <LibDecision/Allowance/LoanBook.h>

#include <LibDecision/Allowance/DriftBound.h>

#include <algorithm>

namespace Ibisturn {

namespace {

using namespace std::chrono_literals;

/// How long a returned loan is kept, so that tokens that its reservations did not use can be refunded.
constexpr Duration refundTime = 60s;

} // namespace

LoanBook::LoanBook(Duration term)
    : term_(term)
{
}

void LoanBook::advance(TimePoint now)
{
    std::erase_if(loans_, [now](const auto& entry) { return entry.second.end <= now; });
    for (auto& [lender, loan] : loans_)
        loan.bucket.advance(now);
    while (!returned_.empty() && returned_.front().loan.end + refundTime <= now)
        returned_.pop_front();
}

std::optional<LoanRefund> LoanBook::putBack(const LoanWithdrawal& withdrawal, TokenAmount amount)
{
    const auto isLoan = [&withdrawal](const auto& entry) { return entry.second.number == withdrawal.loan; };
    const auto loan = std::find_if(loans_.begin(), loans_.end(), isLoan);
    if (loan != loans_.end()) {
        loan->second.bucket.putBack(withdrawal.number, amount);
        return std::nullopt;
    }
    const auto isReturned = [&withdrawal](const ReturnedLoan& entry) { return entry.loan.number == withdrawal.loan; };
    const auto returned = std::find_if(returned_.begin(), returned_.end(), isReturned);
    if (returned == returned_.end())
        return std::nullopt;
    auto& bucket = returned->loan.bucket;
    const auto before = bucket.level();
    bucket.putBack(withdrawal.number, amount);
    returned->refunded += bucket.level() - before;
    return LoanRefund { {}, returned->lender, {}, returned->loan.granted, returned->refunded };
}

LoanRequestNumber LoanBook::beginRequest(const InstanceId& lender, TokenAmount room, TimePoint now)
{
    auto& request = requests_[lender];
    request.number = LoanRequestNumber(nextRequest_++);
    request.sentAt = now;
    request.room = room;
    request.isPending = true;
    return request.number;
}

TokenAmount LoanBook::endRequest(const InstanceId& lender)
{
    const auto found = requests_.find(lender);
    if (found == requests_.end() || !found->second.isPending)
        return {};
    auto& request = found->second;
    request.isPending = false;
    // Counted as failed until a grant arrives: without an answer, the lender may be unreachable.
    ++request.vain;
    return request.room;
}

TokenAmount LoanBook::endRequestsBefore(TimePoint before)
{
    TokenAmount room;
    for (const auto& [lender, request] : requests_) {
        if (request.isPending && request.sentAt < before)
            room += endRequest(lender);
    }
    return room;
}

bool LoanBook::isRequestPending(const InstanceId& lender) const
{
    const auto found = requests_.find(lender);
    return found != requests_.end() && found->second.isPending;
}

TimePoint LoanBook::lastRequestAt(const InstanceId& lender) const
{
    const auto found = requests_.find(lender);
    return found == requests_.end() ? TimePoint::min() : found->second.sentAt;
}

bool LoanBook::isAwaited(const LoanGrant& grant) const
{
    const auto request = requests_.find(grant.lender.instance);
    return request != requests_.end() && request->second.isPending && request->second.number == grant.number;
}

void LoanBook::accept(const LoanGrant& grant, TimePoint now)
{
    auto& request = requests_.at(grant.lender.instance);
    const bool isVain = (grant.moved + grant.lent).count() < 1;
    request.isPending = false;
    request.vain = isVain ? request.vain + 1 : 0;
    const TimePoint end = request.sentAt + shortenedByDrift(term_);
    if (grant.capacity <= TokenAmount() || end <= now)
        return;
    const BucketLimits limits { {}, grant.capacity };
    auto found = loans_.find(grant.lender);
    if (found == loans_.end())
        found = loans_.emplace(grant.lender, Loan { LoanNumber(nextLoan_++), grant.number, TokenBucket(limits, now), now, end }).first;
    auto& loan = found->second;
    loan.granted = grant.number;
    loan.end = end;
    loan.bucket.setLimits(limits);
    loan.bucket.deposit(grant.lent);
}

std::optional<LoanReturn> LoanBook::giveBack(const WorkspaceId& workspace, const InstanceProcess& self, const InstanceProcess& lender)
{
    const auto found = loans_.find(lender);
    if (found == loans_.end() || isRequestPending(lender.instance))
        return std::nullopt;
    auto& loan = found->second;
    LoanReturn result { workspace, lender, self, loan.granted, std::max(TokenAmount(), loan.bucket.level()) };
    returned_.push_back({ lender, std::move(found->second), {} });
    loans_.erase(found);
    return result;
}

const LoanBook::Loan* LoanBook::loanOf(const InstanceProcess& lender) const
{
    const auto found = loans_.find(lender);
    return found == loans_.end() ? nullptr : &found->second;
}

std::uint32_t LoanBook::vainRequests(const InstanceId& lender) const
{
    const auto found = requests_.find(lender);
    return found == requests_.end() ? 0 : found->second.vain;
}

TokenAmount LoanBook::spendable() const
{
    TokenAmount sum;
    for (const auto& [lender, loan] : loans_)
        sum += std::max(TokenAmount(), loan.bucket.level());
    return sum;
}

TokenAmount LoanBook::capacity() const
{
    TokenAmount sum;
    for (const auto& [lender, loan] : loans_)
        sum += loan.bucket.limits().capacity;
    return sum;
}

} // namespace Ibisturn
