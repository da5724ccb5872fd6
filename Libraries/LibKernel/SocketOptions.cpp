#include <LibKernel/SocketOptions.h>

#include <netinet/tcp.h>
#include <sys/socket.h>

namespace Ibisturn {

namespace {

/// Idle seconds before the first keepalive probe, seconds between probes, and the number of unanswered probes after
/// which the connection is closed. Round trips between regions are far below a second.
constexpr int keepaliveIdleSeconds = 1;
constexpr int keepaliveIntervalSeconds = 1;
constexpr int maxKeepaliveProbes = 2;

void setOption(int socket, int level, int option, int value)
{
    // If the kernel does not support the option, only the timeouts of the callers apply.
    static_cast<void>(::setsockopt(socket, level, option, &value, sizeof(value)));
}

} // namespace

void configureSocket(Asio::ip::tcp::socket& socket)
{
    const auto handle = socket.native_handle();
    setOption(handle, IPPROTO_TCP, TCP_NODELAY, 1);
    setOption(handle, SOL_SOCKET, SO_KEEPALIVE, 1);
    setOption(handle, IPPROTO_TCP, TCP_KEEPIDLE, keepaliveIdleSeconds);
    setOption(handle, IPPROTO_TCP, TCP_KEEPINTVL, keepaliveIntervalSeconds);
    setOption(handle, IPPROTO_TCP, TCP_KEEPCNT, maxKeepaliveProbes);
    setUserTimeout(socket, userTimeout);
}

void setUserTimeout(Asio::ip::tcp::socket& socket, Duration timeout)
{
    const auto count = std::chrono::duration_cast<std::chrono::milliseconds>(timeout).count();
    setOption(socket.native_handle(), IPPROTO_TCP, TCP_USER_TIMEOUT, static_cast<int>(count));
}

// Linux lets a listener with SO_REUSEADDR bind a port only if all other sockets that use it have the option too.
void openOutgoingSocket(Asio::ip::tcp::socket& socket, const Asio::ip::tcp::endpoint& target)
{
    boost::system::error_code error;
    socket.open(target.protocol(), error);
    if (!error)
        setOption(socket.native_handle(), SOL_SOCKET, SO_REUSEADDR, 1);
}

void limitReceiveBuffer(Asio::ip::tcp::socket::native_handle_type socket)
{
    setOption(socket, SOL_SOCKET, SO_RCVBUF, receiveBufferBytes);
}

void limitSendBuffer(Asio::ip::tcp::socket::native_handle_type socket)
{
    setOption(socket, SOL_SOCKET, SO_SNDBUF, sendBufferBytes);
}

} // namespace Ibisturn
