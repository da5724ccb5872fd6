#pragma once

#include <LibKernel/Asio.h>

namespace Ibisturn {

/// Disables Nagle's algorithm, and makes the kernel close a connection whose peer stops responding: a machine that
/// lost power or its network sends no FIN or RST. Thread safety: the worker of the socket.
void configureSocket(Asio::ip::tcp::socket& socket);

} // namespace Ibisturn
