#pragma once

#include <LibHTTP/Backends/BackendDialect.h>
#include <LibKernel/PluginRegistry.h>

namespace Ibisturn {

using BackendDialectRegistry = PluginRegistry<BackendDialect>;

} // namespace Ibisturn
