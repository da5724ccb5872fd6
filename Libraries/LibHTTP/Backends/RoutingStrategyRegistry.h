#pragma once

#include <LibDecision/Routing/RoutingStrategy.h>
#include <LibKernel/PluginRegistry.h>

namespace Ibisturn {

/// The routing strategies, by the name that settings use.
using RoutingStrategyRegistry = PluginRegistry<RoutingStrategy>;

} // namespace Ibisturn
