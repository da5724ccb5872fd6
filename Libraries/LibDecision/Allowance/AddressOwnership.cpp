#include <LibDecision/Allowance/AddressOwnership.h>

#include <LibDecision/Allowance/DriftBound.h>

namespace Ibisturn {

namespace {

constexpr std::size_t maxPendingProbes = 16;

} // namespace

AddressOwnership::AddressOwnership(OwnershipLimits limits)
    : limits_(limits)
{
}

ProbeNumber AddressOwnership::beginProbe(TimePoint now)
{
    const ProbeNumber number(nextProbe_++);
    probes_.emplace(number, now);
    if (probes_.size() > maxPendingProbes)
        probes_.erase(probes_.begin());
    return number;
}

void AddressOwnership::completeProbe(ProbeNumber number, TimePoint now)
{
    const auto probe = probes_.find(number);
    if (probe == probes_.end())
        return;
    const TimePoint end = probe->second + shortenedByDrift(limits_.proofLifetime);
    probes_.erase(probe);
    if (end <= now || end <= spendUntil_)
        return;
    const bool isContinuous = epoch_ != OwnershipEpoch() && now < spendUntil_;
    if (!isContinuous) {
        epoch_ += OwnershipEpoch(1);
        spendFrom_ = now + lengthenedByDrift(limits_.proofLifetime + limits_.maxLoanTerm);
    }
    spendUntil_ = end;
}

} // namespace Ibisturn
