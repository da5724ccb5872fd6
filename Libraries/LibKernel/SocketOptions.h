#pragma once

#include <LibKernel/Asio.h>

namespace Ibisturn {

/// Disables Nagle's algorithm, and makes the kernel close a connection whose peer stops responding: a machine that
/// lost power or its network sends no FIN or RST. Thread safety: the worker of the socket.
void configureSocket(Asio::ip::tcp::socket& socket);

/// The receive buffer of a connection to a caller or a backend server. What arrives and is not read stays in the memory of the
/// machine, and the kernel would let it grow to some MB for each connection.
constexpr int receiveBufferBytes = 64 * 1024;

/// Opens a socket for an outgoing connection to `target`, so that a listener may still bind its local port while the
/// connection is established or in TIME_WAIT. Leaves it closed if it cannot be opened; connecting then reports the error.
/// Precondition: the socket is closed. Thread safety: the worker of the socket.
void openOutgoingSocket(Asio::ip::tcp::socket& socket, const Asio::ip::tcp::endpoint& target);

/// Limits the receive buffer of `socket` to receiveBufferBytes. Precondition: it is open and not connected; the sockets that a
/// listener accepts inherit the limit. Thread safety: the worker of the socket.
void limitReceiveBuffer(Asio::ip::tcp::socket::native_handle_type socket);

} // namespace Ibisturn
