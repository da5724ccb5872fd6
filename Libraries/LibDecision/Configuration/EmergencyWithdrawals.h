#pragma once

#include <LibDecision/Configuration/RecordLog.h>

#include <map>
#include <set>

namespace Ibisturn {

/// Withdrawals that are kept in memory until the store has applied them.
/// Thread safety: one thread at a time.
class EmergencyWithdrawals {
public:
    /// Adds a withdrawal; returns false if it is already known, settled by `records`, or over the limit.
    bool add(const EmergencyWithdrawal& withdrawal, const RecordLog& records);

    /// Removes withdrawals that `records` settle: the record was deleted or replaced by a later revision.
    void settle(const RecordLog& records);

    /// Store keys of the records that are in `records` and withdrawn.
    std::set<std::string> withdrawn(const RecordLog& records) const;

    /// All withdrawals that are not settled.
    std::vector<EmergencyWithdrawal> all() const;

private:
    std::map<std::string, EmergencyWithdrawal> withdrawals_;
};

} // namespace Ibisturn
