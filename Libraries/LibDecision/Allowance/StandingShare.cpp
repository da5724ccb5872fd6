#include <LibDecision/Allowance/StandingShare.h>

#include <LibDecision/Allowance/DriftBound.h>

#include <algorithm>

namespace Ibisturn {

namespace {

using namespace std::chrono_literals;

/// The fraction of the headroom that is offered for tokens of others; the rest is for unused reservations.
constexpr double spareRoomPortion = 0.12;
/// The fraction of the capacity above which a share gives tokens away before they overflow.
constexpr double fullPortion = 0.85;
/// How long after its end a returned loan is kept.
constexpr Duration refundTime = 60s;

} // namespace

StandingShare::StandingShare(BucketLimits whole, LendingLimits lending, const AddressTenure& tenure)
    : whole_(whole)
    , lending_(lending)
    , tenure_(tenure)
    , bucket_(whole, TimePoint())
{
}

void StandingShare::advance(TimePoint now)
{
    isHeld_ = tenure_.isHeld(now);
    if (isHeld_)
        earn(now);
    // Only after the refill: the capacity that a loan took refills from the end of the loan on, not before.
    endLoans(now);
    forgetReturns(now);
}

void StandingShare::earn(TimePoint now)
{
    if (tenureNumber_ != tenure_.number()) {
        tenureNumber_ = tenure_.number();
        bucket_ = TokenBucket(whole_, tenure_.spendFrom());
        applyLimits();
    }
    bucket_.advance(now);
}

void StandingShare::setWhole(BucketLimits whole)
{
    whole_ = whole;
    applyLimits();
}

TokenAmount StandingShare::spendable() const
{
    return isHeld_ ? std::max(TokenAmount(), bucket_.level()) : TokenAmount();
}

LoanGrant StandingShare::lend(const LoanRequest& request, InstanceProcess self, TokensPerSecond demand, TimePoint now)
{
    LoanGrant grant { request.workspace, std::move(self), request.borrower, request.number, {}, {}, {} };
    if (!isHeld_)
        return grant;
    Lending lending;
    if (const auto found = lendings_.find(request.borrower); found != lendings_.end())
        lending = found->second;
    // A delayed duplicate must not be granted again.
    if (request.number <= lending.number)
        return grant;
    const double level = spendable().count();
    const double both = request.demand.count() + demand.count();
    const double portion = both > 0 ? request.demand.count() / both : 0;
    const double balance = (level + request.level.count()) * portion - request.level.count();
    const double surplus = level - fullPortion * bucket_.limits().capacity.count();
    const double offered = request.urgency == Urgency::Balance ? std::max(balance, surplus) : std::min(balance, surplus);
    const double wanted = std::clamp(std::max(offered, request.shortfall.count()), 0.0, level);
    grant.moved = std::min(TokenAmount(wanted), request.room);
    grant.lent = std::clamp(request.shortfall - grant.moved, TokenAmount(), TokenAmount(wanted) - grant.moved);
    bucket_.withdraw(grant.moved + grant.lent);
    // Transferred tokens do not extend a loan: that would delay the refill of what was spent of it.
    if (grant.lent <= TokenAmount())
        return grant;
    grant.capacity = lending.capacity + grant.lent;
    lendings_[request.borrower] = { grant.capacity, request.number, now + lengthenedByDrift(lending_.term) };
    applyLimits();
    return grant;
}

TokenAmount StandingShare::spareRoom() const
{
    if (!isHeld_)
        return {};
    const auto headroom = bucket_.limits().capacity - bucket_.level();
    return std::max(TokenAmount(), TokenAmount(headroom.count() * spareRoomPortion));
}

void StandingShare::keepRoom(TokenAmount room)
{
    keptRoom_ += room;
    applyLimits();
}

void StandingShare::fillRoom(TokenAmount room, TokenAmount moved)
{
    keptRoom_ -= room;
    applyLimits();
    if (isHeld_)
        bucket_.deposit(std::min(room, moved));
}

std::vector<InstanceProcess> StandingShare::borrowers(const InstanceProcess& except) const
{
    std::vector<InstanceProcess> processes;
    for (const auto& [borrower, lending] : lendings_) {
        if (borrower != except)
            processes.push_back(borrower);
    }
    return processes;
}

void StandingShare::takeBack(const LoanReturn& loan)
{
    const auto found = lendings_.find(loan.borrower);
    if (found == lendings_.end() || found->second.number != loan.number)
        return;
    const auto capacity = found->second.capacity;
    const auto tokens = std::min(loan.tokens, capacity);
    const TimePoint forgetAt = found->second.end + refundTime;
    lendings_.erase(found);
    applyLimits();
    bucket_.deposit(tokens);
    const auto withdrawal = bucket_.withdraw(TokenAmount());
    returned_.push_back({ loan.borrower, loan.number, tenureNumber_, withdrawal, capacity - tokens, {}, forgetAt });
}

void StandingShare::takeRefund(const LoanRefund& refund)
{
    const auto isOf = [&refund](const ReturnedLoan& loan) { return loan.borrower == refund.borrower && loan.number == refund.number; };
    const auto loan = std::find_if(returned_.begin(), returned_.end(), isOf);
    if (loan == returned_.end() || loan->tenure != tenureNumber_)
        return;
    const auto total = std::min(refund.total, loan->most);
    if (total <= loan->refunded)
        return;
    bucket_.putBack(loan->withdrawal, total - loan->refunded);
    loan->refunded = total;
}

void StandingShare::forgetReturns(TimePoint now)
{
    std::erase_if(returned_, [now](const ReturnedLoan& loan) { return loan.forgetAt <= now; });
}

TokenAmount StandingShare::lentInAll() const
{
    TokenAmount sum;
    for (const auto& [borrower, lending] : lendings_)
        sum += lending.capacity;
    return sum;
}

void StandingShare::applyLimits()
{
    bucket_.setLimits({ whole_.rate, std::max(TokenAmount(), whole_.capacity - lentInAll() - keptRoom_) });
}

void StandingShare::endLoans(TimePoint now)
{
    const auto count = std::erase_if(lendings_, [now](const auto& entry) { return entry.second.end <= now; });
    if (count > 0)
        applyLimits();
}

} // namespace Ibisturn
