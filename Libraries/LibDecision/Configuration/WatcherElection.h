#pragma once

#include <LibCore/Identifier.h>

#include <vector>

namespace Ibisturn {

/// Ranks the instances of a data centre by their priority as watchers of the store.
/// Instances that know the same set compute the same order, so no coordination is needed.
/// Thread safety: any thread.
std::vector<InstanceId> rankWatchers(const DataCentreId& dataCentre, std::vector<InstanceId> instances);

} // namespace Ibisturn
