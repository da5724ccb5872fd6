#pragma once

#include <LibHTTP/Requests/Cancellation.h>
#include <LibKernel/Asio.h>

namespace Ibisturn {

enum class SocketState : std::uint8_t {
    /// Open, with no bytes to read.
    Idle,
    /// Bytes are available to read.
    Readable,
    /// The peer closed the connection, or the connection failed.
    Closed,
};

/// Checks the state of a socket without consuming bytes. Thread safety: the worker of the socket.
SocketState probeSocket(Asio::ip::tcp::socket& socket);

/// During its lifetime, cancels a request with CallerDisconnected as soon as the peer of `socket` closes the connection, also
/// while nothing is read or written. It consumes no bytes; once unread bytes are available it can't detect a close any more.
/// A caller that closes only its sending side (half-close) is treated as disconnected, too.
/// FIXME: The close_notify alert of a TLS session is taken for bytes of the next request.
/// Thread safety: the worker of the socket.
class SocketWatch {
public:
    /// Precondition: `socket` outlives the watch, and nothing else reads from it meanwhile.
    SocketWatch(Asio::ip::tcp::socket& socket, CancellationPointer cancellation);
    ~SocketWatch();
    SocketWatch(const SocketWatch&) = delete;
    SocketWatch& operator=(const SocketWatch&) = delete;

private:
    struct State {
        Asio::ip::tcp::socket* socket;
        CancellationPointer cancellation;
    };

    std::shared_ptr<State> state_;
};

} // namespace Ibisturn
