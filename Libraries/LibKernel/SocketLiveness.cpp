#include <LibKernel/SocketLiveness.h>

#include <netinet/tcp.h>
#include <sys/socket.h>

namespace Ibisturn {

namespace {

/// Seconds of silence before the first probe and between probes, and the probes that may go unanswered. Round trips
/// between regions are far below a second.
constexpr int probeAfterSeconds = 1;
constexpr int probeIntervalSeconds = 1;
constexpr int mostProbes = 2;
/// Milliseconds that written bytes may go unacknowledged; some retransmissions fit in.
constexpr int unacknowledgedMilliseconds = 2500;

void setOption(int socket, int level, int option, int value)
{
    // A kernel without the option leaves the timeouts of the callers.
    static_cast<void>(::setsockopt(socket, level, option, &value, sizeof(value)));
}

} // namespace

void watchLiveness(Asio::ip::tcp::socket& socket)
{
    const auto handle = socket.native_handle();
    setOption(handle, IPPROTO_TCP, TCP_NODELAY, 1);
    setOption(handle, SOL_SOCKET, SO_KEEPALIVE, 1);
    setOption(handle, IPPROTO_TCP, TCP_KEEPIDLE, probeAfterSeconds);
    setOption(handle, IPPROTO_TCP, TCP_KEEPINTVL, probeIntervalSeconds);
    setOption(handle, IPPROTO_TCP, TCP_KEEPCNT, mostProbes);
    setOption(handle, IPPROTO_TCP, TCP_USER_TIMEOUT, unacknowledgedMilliseconds);
}

} // namespace Ibisturn
