#pragma once

#include <LibDecision/Admission/MemoryBudget.h>
#include <LibHTTP/Operators/ConnectionLimit.h>
#include <LibHTTP/Operators/EntryDialect.h>
#include <LibKernel/Asio.h>

namespace Ibisturn {

/// What bounds the connections of a listener that callers reach.
struct EntryLimits {
    ConnectionLimit& connections;
    const MemoryBudget& memory;
};

/// Answers queries for entries, readiness and metrics on one connection until it closes.
/// Precondition: `dialect`, `source` and what `limits` refers to outlive the coroutine. Thread safety: the worker of the socket.
Task<void> serveEntries(Asio::ip::tcp::socket socket, const EntryDialect& dialect, const EntrySource& source, std::optional<EntryLimits> limits = std::nullopt);

} // namespace Ibisturn
