#include <LibHTTP/Callers/SocketWatch.h>

#include <cerrno>
#include <sys/socket.h>

namespace Ibisturn {

SocketState probeSocket(Asio::ip::tcp::socket& socket)
{
    char byte = 0;
    const auto count = ::recv(socket.native_handle(), &byte, 1, MSG_PEEK | MSG_DONTWAIT);
    if (count > 0)
        return SocketState::Readable;
    const bool isWaiting = count < 0 && (errno == EAGAIN || errno == EWOULDBLOCK || errno == EINTR);
    return isWaiting ? SocketState::Idle : SocketState::Closed;
}

SocketWatch::SocketWatch(Asio::ip::tcp::socket& socket, CancellationPointer cancellation)
    : state_(std::make_shared<State>(State { &socket, std::move(cancellation) }))
{
    // If this process was suspended, the peer may have closed the connection right after sending the request.
    if (probeSocket(socket) == SocketState::Closed)
        state_->cancellation->cancel(CallerDisconnected {});
    const auto onReadable = [state = state_](const boost::system::error_code& error) {
        if (error || !state->socket)
            return;
        if (probeSocket(*state->socket) == SocketState::Closed)
            state->cancellation->cancel(CallerDisconnected {});
    };
    socket.async_wait(Asio::socket_base::wait_read, onReadable);
}

SocketWatch::~SocketWatch()
{
    boost::system::error_code ignored;
    state_->socket->cancel(ignored);
    // The handler may be queued already.
    state_->socket = nullptr;
}

} // namespace Ibisturn
