#pragma once

#include <LibKernel/Asio.h>

#include <cstdint>

#include <boost/beast/core/tcp_stream.hpp>

namespace Ibisturn {

/// What happens to bytes that the other side still sends.
enum class PendingInput : std::uint8_t {
    /// They are read and dropped, up to a bound.
    Discard,
    /// They stay unread, because this process must not take them in.
    LeaveUnread,
};

/// Ends a connection so that what was written last arrives: closes the sending side, then waits within
/// bounds until the other side closes. Closing with unread bytes would reset the connection, and the
/// other side could lose the answer.
/// Precondition: nothing else uses `stream`. Thread safety: the worker of the stream.
Task<void> closeGently(boost::beast::tcp_stream& stream, PendingInput pending);

} // namespace Ibisturn
