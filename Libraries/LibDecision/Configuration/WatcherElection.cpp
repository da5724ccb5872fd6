#include <LibDecision/Configuration/WatcherElection.h>

#include <LibDecision/Membership/EntryDirectory.h>

#include <algorithm>

namespace Ibisturn {

std::vector<InstanceId> rankWatchers(const DataCentreId& dataCentre, std::vector<InstanceId> instances)
{
    const auto isBefore = [&dataCentre](const InstanceId& left, const InstanceId& right) {
        const auto leftScore = rendezvousScore(dataCentre.value(), left.value());
        const auto rightScore = rendezvousScore(dataCentre.value(), right.value());
        return leftScore != rightScore ? leftScore > rightScore : left < right;
    };
    std::sort(instances.begin(), instances.end(), isBefore);
    return instances;
}

} // namespace Ibisturn
