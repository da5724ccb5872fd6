#pragma once

#include <LibConfiguration/Settings.h>
#include <LibKernel/Asio.h>
#include <LibKernel/WorkerPool.h>

#include <functional>

namespace Ibisturn {

/// Listens on `endpoint`; port 0 selects any free port. Throws boost::system::system_error.
/// Thread safety: the thread that runs `context`, or none yet.
Asio::ip::tcp::acceptor listenOn(Asio::io_context& context, const Endpoint& endpoint);

/// Accepts connections until `acceptor` is closed, assigns them to workers round-robin, and passes each to `serve`.
/// Precondition: `acceptor` and `workers` outlive it. Thread safety: the worker that runs the coroutine.
Task<void> acceptConnections(Asio::ip::tcp::acceptor& acceptor, WorkerPool& workers, std::function<void(Asio::ip::tcp::socket, std::size_t)> serve);

} // namespace Ibisturn
