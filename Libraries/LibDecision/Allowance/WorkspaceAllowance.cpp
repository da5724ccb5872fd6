#include <LibDecision/Allowance/WorkspaceAllowance.h>

#include <algorithm>
#include <utility>

namespace Ibisturn {

namespace {

using namespace std::chrono_literals;

/// A loan request that is not answered for this long is considered lost.
constexpr Duration requestTimeout = 1s;
/// Interval between requests to one lender while a reservation is waiting.
constexpr Duration shortfallInterval = 100ms;
/// Interval between requests to one lender while none is waiting.
constexpr Duration demandInterval = 1s;
/// The interval doubles with each consecutive failed request, up to this many times.
constexpr std::uint32_t maxBackoffDoublings = 4;
/// Interval between recalls.
constexpr Duration recallInterval = 200ms;
/// An idle loan is kept for at least this long.
constexpr Duration minLoanDuration = 1s;
/// How far ahead an instance without a share borrows.
constexpr Duration borrowAheadTime = 3s;
constexpr Duration maxRetryAfter = 1h;
/// Fraction of the share's capacity below which surplus tokens are requested from others.
constexpr double surplusThreshold = 0.6;
/// Fraction of the share's capacity below which tokens beyond the surplus are requested from others.
constexpr double balanceThreshold = 0.15;
/// A loan is returned when less than this fraction of its term remains.
constexpr double returnPortion = 0.1;
Duration portionOf(Duration span, double portion)
{
    return Duration(static_cast<Duration::rep>(static_cast<double>(span.count()) * portion));
}

} // namespace

WorkspaceAllowance::WorkspaceAllowance(AllowanceSettings settings, const AddressOwnership& ownership)
    : settings_(std::move(settings))
    , share_(settings_.share, settings_.lending, ownership)
    , loans_(settings_.lending.term)
{
}

AllowanceActions WorkspaceAllowance::reserve(ReservationId id, TokenAmount amount, TimePoint now)
{
    advance(now);
    AllowanceActions actions;
    if (amount > settings_.fleet.capacity) {
        actions.emplace_back(RefuseReservation { id, maxRetryAfter });
        return actions;
    }
    demand_.add(amount, now);
    waiting_.push_back({ id, amount, now + settings_.maxWait });
    admitWaiting(actions, now);
    requestLoans(actions, now);
    return actions;
}

AllowanceActions WorkspaceAllowance::settle(ReservationId id, TokenAmount used, TimePoint now)
{
    advance(now);
    AllowanceActions actions;
    const auto found = reservations_.find(id);
    if (found == reservations_.end())
        return actions;
    const Reservation reservation = std::move(found->second);
    reservations_.erase(found);
    if (used > reservation.amount)
        share_.bucket().charge(used - reservation.amount);
    TokenAmount unused = std::max(TokenAmount(), reservation.amount - used);
    for (const auto& part : reservation.parts) {
        const auto returned = std::min(unused, part.amount);
        if (returned > TokenAmount())
            putBack(actions, part, returned);
        unused -= returned;
    }
    demand_.add(used - reservation.amount, now);
    admitWaiting(actions, now);
    return actions;
}

void WorkspaceAllowance::abandon(ReservationId id)
{
    reservations_.erase(id);
    std::erase_if(waiting_, [id](const WaitingRequest& waiting) { return waiting.id == id; });
}

void WorkspaceAllowance::setLimits(BucketLimits fleet, BucketLimits share, TimePoint now)
{
    advance(now);
    settings_.fleet = fleet;
    settings_.share = share;
    share_.setFullLimits(share);
}

AllowanceActions WorkspaceAllowance::receive(const LoanRequest& request, TimePoint now)
{
    advance(now);
    AllowanceActions actions;
    auto grant = share_.lend(request, settings_.self, demand_.at(now), now);
    if (grant.transferred + grant.lent < request.shortfall)
        recallLoans(actions, request.borrower, now);
    actions.emplace_back(SendLoanGrant { std::move(grant) });
    return actions;
}

AllowanceActions WorkspaceAllowance::receive(const LoanGrant& grant, TimePoint now)
{
    advance(now);
    AllowanceActions actions;
    if (grant.borrower != settings_.self || !loans_.isAwaited(grant))
        return actions;
    const auto headroom = loans_.endRequest(grant.lender.instance);
    share_.releaseHeadroom(headroom, grant.transferred);
    loans_.accept(grant, now);
    admitWaiting(actions, now);
    requestLoans(actions, now);
    return actions;
}

AllowanceActions WorkspaceAllowance::receive(const LoanReturn& loan, TimePoint now)
{
    advance(now);
    AllowanceActions actions;
    if (loan.lender != settings_.self)
        return actions;
    share_.acceptReturn(loan);
    admitWaiting(actions, now);
    return actions;
}

AllowanceActions WorkspaceAllowance::receive(const LoanRecall& recall, TimePoint now)
{
    advance(now);
    AllowanceActions actions;
    const auto* loan = loans_.findLoan(recall.lender);
    // A request waiting at another instance takes precedence over one that may arrive here.
    if (recall.borrower == settings_.self && loan && waiting_.empty())
        returnLoans(actions, { recall.lender });
    return actions;
}

AllowanceActions WorkspaceAllowance::receive(const LoanRefund& refund, TimePoint now)
{
    advance(now);
    AllowanceActions actions;
    if (refund.lender != settings_.self)
        return actions;
    share_.acceptRefund(refund);
    admitWaiting(actions, now);
    return actions;
}

AllowanceActions WorkspaceAllowance::tick(TimePoint now)
{
    advance(now);
    AllowanceActions actions;
    admitWaiting(actions, now);
    requestLoans(actions, now);
    if (!waiting_.empty())
        recallLoans(actions, settings_.self, now);
    const TimePoint before = now + portionOf(settings_.lending.term, returnPortion);
    returnLoans(actions, loans_.lendersIf([&](const LoanTable::Loan& loan) { return loan.end < before || isIdle(loan, now); }));
    return actions;
}

void WorkspaceAllowance::advance(TimePoint now)
{
    share_.advance(now);
    loans_.advance(now);
    share_.releaseHeadroom(loans_.endRequestsBefore(now - requestTimeout), {});
}

void WorkspaceAllowance::admitWaiting(AllowanceActions& actions, TimePoint now)
{
    // A request that does not fit does not block smaller ones: a single exact bucket would admit those, too.
    for (auto waiting = waiting_.begin(); waiting != waiting_.end();) {
        const bool fits = waiting->amount <= spendable();
        if (!fits && now < waiting->refuseAt) {
            ++waiting;
            continue;
        }
        if (fits) {
            charge(waiting->id, waiting->amount);
            actions.emplace_back(AdmitReservation { waiting->id });
        } else {
            actions.emplace_back(RefuseReservation { waiting->id, retryAfter(waiting->amount) });
        }
        waiting = waiting_.erase(waiting);
    }
}

void WorkspaceAllowance::requestLoans(AllowanceActions& actions, TimePoint now)
{
    for (const auto& lender : settings_.lenders) {
        if (!shouldRequestLoan(lender, now))
            continue;
        const TokenAmount headroom(share_.spareHeadroom().count() / static_cast<double>(settings_.lenders.size()));
        share_.reserveHeadroom(headroom);
        const auto number = loans_.beginRequest(lender, headroom, now);
        LoanRequest request { settings_.workspace, settings_.self, number, demand_.at(now), spendable(), urgency(), headroom, shortfall(now) };
        actions.emplace_back(SendLoanRequest { lender, std::move(request) });
    }
}

void WorkspaceAllowance::recallLoans(AllowanceActions& actions, const InstanceProcess& except, TimePoint now)
{
    if (lastRecallAt_ != TimePoint::min() && now - lastRecallAt_ < recallInterval)
        return;
    for (auto& borrower : share_.borrowers(except))
        actions.emplace_back(SendLoanRecall { { settings_.workspace, settings_.self, std::move(borrower) } });
    lastRecallAt_ = now;
}

void WorkspaceAllowance::returnLoans(AllowanceActions& actions, const std::vector<InstanceProcess>& lenders)
{
    for (const auto& lender : lenders) {
        if (auto loan = loans_.returnLoan(settings_.workspace, settings_.self, lender))
            actions.emplace_back(SendLoanReturn { std::move(*loan) });
    }
}

bool WorkspaceAllowance::isIdle(const LoanTable::Loan& loan, TimePoint now) const
{
    if (!waiting_.empty() || now - loan.begin < minLoanDuration)
        return false;
    return spendable() - loan.bucket.level() >= borrowAheadTarget(now);
}

bool WorkspaceAllowance::shouldRequestLoan(const InstanceId& lender, TimePoint now) const
{
    const TimePoint last = loans_.lastRequestAt(lender);
    const bool isFirst = last == TimePoint::min();
    const Duration since = isFirst ? maxRetryAfter : now - last;
    if (loans_.isRequestPending(lender))
        return false;
    const auto backoffFactor = 1U << std::min(loans_.consecutiveFailures(lender), maxBackoffDoublings);
    if (!waiting_.empty())
        return since >= shortfallInterval * backoffFactor;
    return since >= demandInterval * backoffFactor && needsTokens(now);
}

bool WorkspaceAllowance::needsTokens(TimePoint now) const
{
    if (demand_.at(now) <= TokensPerSecond())
        return false;
    return spendable().count() < surplusThreshold * settings_.share.capacity.count() || spendable() < borrowAheadTarget(now);
}

Urgency WorkspaceAllowance::urgency() const
{
    const bool isLow = spendable().count() < balanceThreshold * settings_.share.capacity.count();
    return isLow ? Urgency::Balance : Urgency::Surplus;
}

TokenAmount WorkspaceAllowance::borrowAheadTarget(TimePoint now) const
{
    if (settings_.share.capacity > TokenAmount())
        return {};
    return TokenAmount(demand_.at(now).count() * std::chrono::duration<double>(borrowAheadTime).count());
}

void WorkspaceAllowance::charge(ReservationId id, TokenAmount amount)
{
    Reservation reservation { amount, {} };
    TokenAmount missing = amount;
    // The reserved share first: unused tokens can be put back into it later, whereas loans may have ended by then.
    const auto own = std::min(missing, share_.spendable());
    if (own > TokenAmount()) {
        reservation.parts.push_back({ { {}, share_.bucket().withdraw(own) }, share_.epoch(), own });
        missing -= own;
    }
    for (auto& [lender, loan] : loans_.loans()) {
        const auto taken = std::min(missing, std::max(TokenAmount(), loan.bucket.level()));
        if (taken <= TokenAmount())
            continue;
        reservation.parts.push_back({ { loan.number, loan.bucket.withdraw(taken) }, {}, taken });
        missing -= taken;
    }
    reservations_.emplace(id, std::move(reservation));
}

void WorkspaceAllowance::putBack(AllowanceActions& actions, const ReservationPart& part, TokenAmount amount)
{
    if (part.loan.loan == LoanNumber()) {
        if (part.epoch == share_.epoch())
            share_.bucket().putBack(part.loan.number, amount);
        return;
    }
    auto refund = loans_.putBack(part.loan, amount);
    if (!refund)
        return;
    refund->workspace = settings_.workspace;
    refund->borrower = settings_.self;
    actions.emplace_back(SendLoanRefund { std::move(*refund) });
}

TokenAmount WorkspaceAllowance::shortfall(TimePoint now) const
{
    TokenAmount wanted = borrowAheadTarget(now);
    for (const auto& waiting : waiting_)
        wanted += waiting.amount;
    return std::max(TokenAmount(), wanted - spendable());
}

Duration WorkspaceAllowance::retryAfter(TokenAmount amount) const
{
    const double rate = settings_.fleet.rate.count();
    const double missing = (amount - spendable()).count();
    if (rate <= 0 || missing / rate >= std::chrono::duration<double>(maxRetryAfter).count())
        return maxRetryAfter;
    return std::chrono::duration_cast<Duration>(std::chrono::duration<double>(std::max(1.0, missing / rate)));
}

} // namespace Ibisturn
