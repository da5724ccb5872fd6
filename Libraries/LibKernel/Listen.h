#pragma once

#include <LibConfiguration/Settings.h>
#include <LibKernel/Asio.h>
#include <LibKernel/WorkerPool.h>

#include <functional>

namespace Ibisturn {

/// Listens on `endpoint`; port 0 takes any free port. Throws boost::system::system_error.
/// Thread safety: the thread that runs `context`, or none yet.
Asio::ip::tcp::acceptor listenOn(Asio::io_context& context, const Endpoint& endpoint);

/// Takes connections until `acceptor` is closed, and gives each with its worker to `serve`; the workers take turns.
/// Precondition: `acceptor` and `workers` outlive it. Thread safety: the worker that runs the coroutine.
Task<void> acceptConnections(Asio::ip::tcp::acceptor& acceptor, WorkerPool& workers, std::function<void(Asio::ip::tcp::socket, std::size_t)> serve);

} // namespace Ibisturn
