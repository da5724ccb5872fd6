#include <LibDecision/Allowance/ReservedShare.h>

#include <LibDecision/Allowance/DriftBound.h>

#include <algorithm>

namespace Ibisturn {

namespace {

using namespace std::chrono_literals;

/// The fraction of the headroom that is offered for tokens of others; the rest is for unused reservations.
constexpr double spareHeadroomPortion = 0.12;
/// The fraction of the capacity above which a share gives tokens away before they overflow.
constexpr double surplusPortion = 0.85;
/// How long after its end a returned loan is kept.
constexpr Duration refundPeriod = 60s;

} // namespace

ReservedShare::ReservedShare(BucketLimits fullLimits, LendingLimits lending, const AddressOwnership& ownership)
    : fullLimits_(fullLimits)
    , lending_(lending)
    , ownership_(ownership)
    , bucket_(fullLimits, TimePoint())
{
}

void ReservedShare::advance(TimePoint now)
{
    isOwned_ = ownership_.isOwned(now);
    if (isOwned_)
        refill(now);
    // Only after the refill: the capacity that a loan took refills from the end of the loan on, not before.
    expireLoans(now);
    expireReturnedLoans(now);
}

void ReservedShare::refill(TimePoint now)
{
    if (epoch_ != ownership_.epoch()) {
        epoch_ = ownership_.epoch();
        bucket_ = TokenBucket(fullLimits_, ownership_.spendFrom());
        applyLimits();
    }
    bucket_.advance(now);
}

void ReservedShare::setFullLimits(BucketLimits fullLimits)
{
    fullLimits_ = fullLimits;
    applyLimits();
}

TokenAmount ReservedShare::spendable() const
{
    return isOwned_ ? std::max(TokenAmount(), bucket_.level()) : TokenAmount();
}

LoanGrant ReservedShare::lend(const LoanRequest& request, InstanceProcess self, TokensPerSecond demand, TimePoint now)
{
    LoanGrant grant { request.workspace, std::move(self), request.borrower, request.number, {}, {}, {} };
    if (!isOwned_)
        return grant;
    Lending lending;
    if (const auto found = lendings_.find(request.borrower); found != lendings_.end())
        lending = found->second;
    // A delayed duplicate must not be granted again.
    if (request.number <= lending.number)
        return grant;
    const double level = spendable().count();
    const double totalDemand = request.demand.count() + demand.count();
    const double portion = totalDemand > 0 ? request.demand.count() / totalDemand : 0;
    const double balance = (level + request.level.count()) * portion - request.level.count();
    const double surplus = level - surplusPortion * bucket_.limits().capacity.count();
    const double offered = request.urgency == Urgency::Balance ? std::max(balance, surplus) : std::min(balance, surplus);
    const double wanted = std::clamp(std::max(offered, request.shortfall.count()), 0.0, level);
    grant.transferred = std::min(TokenAmount(wanted), request.headroom);
    grant.lent = std::clamp(request.shortfall - grant.transferred, TokenAmount(), TokenAmount(wanted) - grant.transferred);
    bucket_.withdraw(grant.transferred + grant.lent);
    // Transferred tokens do not extend a loan: that would delay the refill of what was spent of it.
    if (grant.lent <= TokenAmount())
        return grant;
    grant.capacity = lending.capacity + grant.lent;
    lendings_[request.borrower] = { grant.capacity, request.number, now + lengthenedByDrift(lending_.term) };
    applyLimits();
    return grant;
}

TokenAmount ReservedShare::spareHeadroom() const
{
    if (!isOwned_)
        return {};
    const auto headroom = bucket_.limits().capacity - bucket_.level();
    return std::max(TokenAmount(), TokenAmount(headroom.count() * spareHeadroomPortion));
}

void ReservedShare::reserveHeadroom(TokenAmount headroom)
{
    reservedHeadroom_ += headroom;
    applyLimits();
}

void ReservedShare::releaseHeadroom(TokenAmount headroom, TokenAmount transferred)
{
    reservedHeadroom_ -= headroom;
    applyLimits();
    if (isOwned_)
        bucket_.deposit(std::min(headroom, transferred));
}

std::vector<InstanceProcess> ReservedShare::borrowers(const InstanceProcess& except) const
{
    std::vector<InstanceProcess> processes;
    for (const auto& [borrower, lending] : lendings_) {
        if (borrower != except)
            processes.push_back(borrower);
    }
    return processes;
}

void ReservedShare::acceptReturn(const LoanReturn& loan)
{
    const auto found = lendings_.find(loan.borrower);
    if (found == lendings_.end() || found->second.number != loan.number)
        return;
    const auto capacity = found->second.capacity;
    const auto tokens = std::min(loan.tokens, capacity);
    const TimePoint expiresAt = found->second.end + refundPeriod;
    lendings_.erase(found);
    applyLimits();
    bucket_.deposit(tokens);
    const auto withdrawal = bucket_.withdraw(TokenAmount());
    returnedLoans_.push_back({ loan.borrower, loan.number, epoch_, withdrawal, capacity - tokens, {}, expiresAt });
}

void ReservedShare::acceptRefund(const LoanRefund& refund)
{
    const auto isOf = [&refund](const ReturnedLoan& loan) { return loan.borrower == refund.borrower && loan.number == refund.number; };
    const auto loan = std::find_if(returnedLoans_.begin(), returnedLoans_.end(), isOf);
    if (loan == returnedLoans_.end() || loan->epoch != epoch_)
        return;
    const auto total = std::min(refund.total, loan->maxRefund);
    if (total <= loan->refunded)
        return;
    bucket_.putBack(loan->withdrawal, total - loan->refunded);
    loan->refunded = total;
}

void ReservedShare::expireReturnedLoans(TimePoint now)
{
    std::erase_if(returnedLoans_, [now](const ReturnedLoan& loan) { return loan.expiresAt <= now; });
}

TokenAmount ReservedShare::totalLent() const
{
    TokenAmount sum;
    for (const auto& [borrower, lending] : lendings_)
        sum += lending.capacity;
    return sum;
}

void ReservedShare::applyLimits()
{
    bucket_.setLimits({ fullLimits_.rate, std::max(TokenAmount(), fullLimits_.capacity - totalLent() - reservedHeadroom_) });
}

void ReservedShare::expireLoans(TimePoint now)
{
    const auto count = std::erase_if(lendings_, [now](const auto& entry) { return entry.second.end <= now; });
    if (count > 0)
        applyLimits();
}

} // namespace Ibisturn
