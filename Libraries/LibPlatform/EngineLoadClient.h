#pragma once

#include <LibConfiguration/Settings.h>
#include <LibDecision/Routing/BackendPool.h>
#include <LibKernel/Asio.h>

namespace Ibisturn {

/// What an engine says of itself. Its report may be older than the time at which it was asked.
struct EngineLoad {
    LoadReport report;
    bool isDraining { false };
};

/// Asks an engine for its load. Throws Error with MalformedBody or boost::system::system_error.
/// Thread safety: one worker.
Task<EngineLoad> fetchEngineLoad(Endpoint endpoint);

/// Reads a report's JSON text, taken at `takenAt`. Throws Error with MalformedBody. Thread safety: any thread.
EngineLoad parseEngineLoad(std::string_view json, TimePoint takenAt);

} // namespace Ibisturn
