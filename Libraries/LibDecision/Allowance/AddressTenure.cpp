#include <LibDecision/Allowance/AddressTenure.h>

#include <LibDecision/Allowance/DriftBound.h>

namespace Ibisturn {

namespace {

constexpr std::size_t probeLimit = 16;

} // namespace

AddressTenure::AddressTenure(TenureLimits limits)
    : limits_(limits)
{
}

ProbeNumber AddressTenure::beginProbe(TimePoint now)
{
    const ProbeNumber number(nextProbe_++);
    probes_.emplace(number, now);
    if (probes_.size() > probeLimit)
        probes_.erase(probes_.begin());
    return number;
}

void AddressTenure::completeProbe(ProbeNumber number, TimePoint now)
{
    const auto probe = probes_.find(number);
    if (probe == probes_.end())
        return;
    const TimePoint end = probe->second + shortenedByDrift(limits_.length);
    probes_.erase(probe);
    if (end <= now || end <= spendUntil_)
        return;
    const bool isUnbroken = number_ != TenureNumber() && now < spendUntil_;
    if (!isUnbroken) {
        number_ += TenureNumber(1);
        spendFrom_ = now + lengthenedByDrift(limits_.length + limits_.longestLoan);
    }
    spendUntil_ = end;
}

} // namespace Ibisturn
