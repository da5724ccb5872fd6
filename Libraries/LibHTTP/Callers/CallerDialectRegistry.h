#pragma once

#include <LibHTTP/Callers/CallerDialect.h>
#include <LibKernel/PluginRegistry.h>

namespace Ibisturn {

using CallerDialectRegistry = PluginRegistry<CallerDialect>;

} // namespace Ibisturn
