#pragma once

#include <LibHTTP/Operators/EntryDialect.h>
#include <LibKernel/Asio.h>

namespace Ibisturn {

/// Answers queries for entries, readiness and metrics on one connection until it closes.
/// Precondition: `dialect` and `source` outlive the coroutine. Thread safety: the worker of the socket.
Task<void> serveEntries(Asio::ip::tcp::socket socket, const EntryDialect& dialect, const EntrySource& source);

} // namespace Ibisturn
