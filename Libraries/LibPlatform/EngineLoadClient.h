#pragma once

#include <LibConfiguration/Settings.h>
#include <LibDecision/Routing/BackendPool.h>
#include <LibKernel/Asio.h>

namespace Ibisturn {

/// An engine's load report, which may be older than the request for it.
struct EngineLoad {
    LoadReport report;
    bool isDraining { false };
};

/// Requests an engine's load report. Throws Error with MalformedBody or boost::system::system_error.
/// Thread safety: one worker.
Task<EngineLoad> fetchEngineLoad(Endpoint endpoint);

/// Parses the JSON text of a report requested at `requestedAt`. Throws Error with MalformedBody. Thread safety: any thread.
EngineLoad parseEngineLoad(std::string_view json, TimePoint requestedAt);

} // namespace Ibisturn
