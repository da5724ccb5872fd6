#pragma once

#include <LibDecision/Routing/RoutingStrategy.h>
#include <LibKernel/PluginRegistry.h>

namespace Ibisturn {

/// The routing strategies by the name used in settings.
using RoutingStrategyRegistry = PluginRegistry<RoutingStrategy>;

} // namespace Ibisturn
