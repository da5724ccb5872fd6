#pragma once

#include <LibConfiguration/Settings.h>
#include <LibKernel/Asio.h>
#include <LibKernel/WorkerPool.h>

#include <functional>
#include <string>

namespace Ibisturn {

/// Listens on `endpoint`; port 0 selects any free port. Throws boost::system::system_error.
/// Thread safety: the thread that runs `context`, or none yet.
Asio::ip::tcp::acceptor listenOn(Asio::io_context& context, const Endpoint& endpoint);

enum class ReceiveBuffer : std::uint8_t {
    /// See receiveBufferBytes.
    Limited,
    /// As large as the system lets it grow, for large messages over long distances.
    System,
};

/// The address of a listener and the name by which log lines and errors call it.
struct ListenAddress {
    std::string listener;
    Endpoint endpoint;
    /// For the connections that the listener accepts.
    ReceiveBuffer receiveBuffer { ReceiveBuffer::Limited };
};

/// Opens `acceptor` on `address`. While another socket uses the address, it tries again until that one is gone, calls
/// `onRetry` before each further attempt, and logs at most one line in ten seconds. Throws boost::system::system_error, which
/// names the listener and its address, for every other failure.
/// Precondition: `acceptor` is closed and outlives the coroutine. Thread safety: the worker that runs the coroutine.
Task<void> listenWhenFree(Asio::ip::tcp::acceptor& acceptor, ListenAddress address, std::function<void()> onRetry);

/// Accepts connections until `acceptor` is closed, assigns them to workers round-robin, and passes each to `serve`.
/// Precondition: `acceptor` and `workers` outlive it. Thread safety: the worker that runs the coroutine.
Task<void> acceptConnections(Asio::ip::tcp::acceptor& acceptor, WorkerPool& workers, std::function<void(Asio::ip::tcp::socket, std::size_t)> serve);

} // namespace Ibisturn
