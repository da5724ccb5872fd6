#pragma once

#include <LibHTTP/Requests/Cancellation.h>
#include <LibKernel/Asio.h>

namespace Ibisturn {

enum class SocketState : std::uint8_t {
    Quiet,
    /// Bytes wait to be read.
    Readable,
    /// The other side closed the connection, or it broke.
    Closed,
};

/// Looks at a socket without reading from it. Thread safety: the worker of the socket.
SocketState probeSocket(Asio::ip::tcp::socket& socket);

/// While it lives, cancels a request with CallerDisconnected as soon as the other side of `socket` closes, also
/// while nothing is read or written. It reads no byte; once bytes wait to be read it can't tell any more.
/// A caller that closes only its sending side counts as gone, too.
/// FIXME: The alert that ends a TLS session is taken for bytes of the next request.
/// Thread safety: the worker of the socket.
class SocketWatch {
public:
    /// Precondition: `socket` outlives the watch, and nobody reads from it meanwhile.
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
