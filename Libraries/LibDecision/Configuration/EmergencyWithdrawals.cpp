#include <LibDecision/Configuration/EmergencyWithdrawals.h>

namespace Ibisturn {

namespace {

constexpr std::size_t maxWithdrawals = 64;

bool isSettled(const EmergencyWithdrawal& withdrawal, const RecordLog& records)
{
    // Records older than the revision that the operator read cannot show whether the withdrawal was applied.
    if (records.revision() < withdrawal.expected)
        return false;
    const auto& entries = records.records().entries();
    const auto found = entries.find(withdrawal.key);
    return found == entries.end() || found->second.revision > withdrawal.expected;
}

} // namespace

bool EmergencyWithdrawals::add(const EmergencyWithdrawal& withdrawal, const RecordLog& records)
{
    const auto found = withdrawals_.find(withdrawal.key);
    const bool isKnown = found != withdrawals_.end() && found->second.expected >= withdrawal.expected;
    if (isKnown || isSettled(withdrawal, records))
        return false;
    if (found == withdrawals_.end() && withdrawals_.size() == maxWithdrawals)
        return false;
    withdrawals_[withdrawal.key] = withdrawal;
    return true;
}

void EmergencyWithdrawals::settle(const RecordLog& records)
{
    std::erase_if(withdrawals_, [&records](const auto& entry) { return isSettled(entry.second, records); });
}

std::set<std::string> EmergencyWithdrawals::withdrawn(const RecordLog& records) const
{
    std::set<std::string> keys;
    for (const auto& [key, withdrawal] : withdrawals_) {
        const auto found = records.records().entries().find(key);
        if (found != records.records().entries().end() && found->second.revision <= withdrawal.expected)
            keys.insert(key);
    }
    return keys;
}

std::vector<EmergencyWithdrawal> EmergencyWithdrawals::all() const
{
    std::vector<EmergencyWithdrawal> list;
    for (const auto& [key, withdrawal] : withdrawals_)
        list.push_back(withdrawal);
    return list;
}

} // namespace Ibisturn
