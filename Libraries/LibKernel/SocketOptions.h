#pragma once

#include <LibKernel/Asio.h>

namespace Ibisturn {

/// Disables Nagle's algorithm, and makes the kernel close a connection whose peer stops responding: a machine that
/// lost power or its network sends no FIN or RST. Thread safety: the worker of the socket.
void configureSocket(Asio::ip::tcp::socket& socket);

/// Opens a socket for an outgoing connection to `target`, so that a listener may still bind its local port while the
/// connection is established or in TIME_WAIT. Leaves it closed if it cannot be opened; connecting then reports the error.
/// Precondition: the socket is closed. Thread safety: the worker of the socket.
void openOutgoingSocket(Asio::ip::tcp::socket& socket, const Asio::ip::tcp::endpoint& target);

} // namespace Ibisturn
