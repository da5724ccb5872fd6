#pragma once

#include <LibConfiguration/Settings.h>
#include <LibKernel/Asio.h>

namespace Ibisturn {

/// Listens on `endpoint`; port 0 takes any free port. Throws boost::system::system_error.
/// Thread safety: the thread that runs `context`, or none yet.
inline Asio::ip::tcp::acceptor listenOn(Asio::io_context& context, const Endpoint& endpoint)
{
    return { context, Asio::ip::tcp::endpoint(Asio::ip::make_address(endpoint.address), endpoint.port) };
}

} // namespace Ibisturn
