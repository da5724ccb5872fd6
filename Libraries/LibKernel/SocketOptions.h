#pragma once

#include <LibCore/Clock.h>
#include <LibKernel/Asio.h>

namespace Ibisturn {

/// Disables Nagle's algorithm, and makes the kernel close a connection whose peer stops responding: a machine that
/// lost power or its network sends no FIN or RST. Thread safety: the worker of the socket.
void configureSocket(Asio::ip::tcp::socket& socket);

/// How long sent bytes may remain unacknowledged, or unread by a peer whose receive buffer is full, before the kernel closes the
/// connection. configureSocket() sets the first, which is long enough for several retransmissions. A peer that is expected to read
/// slowly gets the second, which exceeds the longest deadline of a request (12 s).
constexpr Duration userTimeout = std::chrono::milliseconds(2500);
constexpr Duration slowReaderUserTimeout = std::chrono::seconds(15);

/// Sets that time. Precondition: the socket is open. Thread safety: the worker of the socket.
void setUserTimeout(Asio::ip::tcp::socket& socket, Duration timeout);

/// The receive buffer of a connection to a caller or a backend server. What arrives and is not read stays in the memory of the
/// machine, and the kernel would let it grow to some MB for each connection.
constexpr int receiveBufferBytes = 64 * 1024;

/// The send buffer of a connection to a caller or a backend server. What is not read stays there, in memory that no budget counts, and the
/// kernel would let it grow to 4 MB for each connection. It allows 2 MB/s over a round trip of 60 ms.
constexpr int sendBufferBytes = 64 * 1024;

/// Opens a socket for an outgoing connection to `target`, so that a listener may still bind its local port while the
/// connection is established or in TIME_WAIT. Leaves it closed if it cannot be opened; connecting then reports the error.
/// Precondition: the socket is closed. Thread safety: the worker of the socket.
void openOutgoingSocket(Asio::ip::tcp::socket& socket, const Asio::ip::tcp::endpoint& target);

/// Limits the receive buffer of `socket` to receiveBufferBytes. Precondition: it is open and not connected; the sockets that a
/// listener accepts inherit the limit. Thread safety: the worker of the socket.
void limitReceiveBuffer(Asio::ip::tcp::socket::native_handle_type socket);

/// Limits the send buffer of `socket` to sendBufferBytes, which the kernel doubles for its own needs.
/// Precondition: it is open. Thread safety: the worker of the socket.
void limitSendBuffer(Asio::ip::tcp::socket::native_handle_type socket);

} // namespace Ibisturn
