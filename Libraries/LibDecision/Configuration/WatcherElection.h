#pragma once

#include <LibCore/Identifier.h>

#include <vector>

namespace Ibisturn {

/// The instances of a data centre in the order in which they watch the store, first come first.
/// Every instance that knows the same instances finds the same order, so nobody has to be asked.
/// Thread safety: any thread.
std::vector<InstanceId> rankWatchers(const DataCentreId& dataCentre, std::vector<InstanceId> instances);

} // namespace Ibisturn
