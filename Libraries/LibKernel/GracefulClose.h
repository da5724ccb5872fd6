#pragma once

#include <LibKernel/Asio.h>

#include <cstdint>

#include <boost/beast/core/tcp_stream.hpp>

namespace Ibisturn {

/// What to do with bytes that the peer still sends.
enum class PendingInput : std::uint8_t {
    /// Read and discard them, up to a limit.
    Discard,
    /// Leave them unread, because this process must not receive them.
    LeaveUnread,
};

/// Closes a connection so that the data written last is delivered: shuts down the sending side, then waits, up to
/// a time limit, until the peer closes. Closing a socket with unread bytes would reset the connection, and the peer
/// could lose the answer.
/// Precondition: nothing else uses `stream`. Thread safety: the worker of the stream.
Task<void> closeGracefully(boost::beast::tcp_stream& stream, PendingInput pending);

/// Closes a connection at once, after discarding what has arrived, so that the data written last is delivered unless the peer goes on
/// sending. Precondition: as above. Thread safety: the worker of the socket.
void closeWithoutWaiting(Asio::ip::tcp::socket& socket);

} // namespace Ibisturn
