#pragma once

#include <LibDecision/Configuration/RecordLog.h>

#include <map>
#include <set>

namespace Ibisturn {

/// The withdrawals that instances hold in memory until the store has them.
/// Thread safety: one thread at a time.
class EmergencyWithdrawals {
public:
    /// Takes in a withdrawal; false if it is known, settled by `records`, or one too many.
    bool add(const EmergencyWithdrawal& withdrawal, const RecordLog& records);

    /// Forgets those that `records` settle: the record is gone, or a later one has taken its place.
    void settle(const RecordLog& records);

    /// The store's keys of the records that are in `records` and withdrawn.
    std::set<std::string> withdrawn(const RecordLog& records) const;

    /// Those that are not settled.
    std::vector<EmergencyWithdrawal> all() const;

private:
    std::map<std::string, EmergencyWithdrawal> withdrawals_;
};

} // namespace Ibisturn
