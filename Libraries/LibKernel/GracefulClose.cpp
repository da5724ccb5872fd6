#include <LibKernel/GracefulClose.h>

#include <LibCore/Clock.h>

#include <array>
#include <memory>

namespace Ibisturn {

namespace {

constexpr Duration maxWait = std::chrono::seconds(2);
constexpr std::size_t maxDiscardedBytes = 64UL * 1024 * 1024;
constexpr std::size_t readBytes = 16UL * 1024;

Task<void> discardInput(boost::beast::tcp_stream& stream)
{
    std::array<char, readBytes> discarded; // NOLINT: contents are never read
    boost::system::error_code error;
    std::size_t total = 0;
    stream.expires_after(maxWait);
    while (!error && total < maxDiscardedBytes)
        total += co_await stream.async_read_some(Asio::buffer(discarded), Asio::redirect_error(Asio::use_awaitable, error));
}

Task<void> awaitPeerClose(Asio::ip::tcp::socket& socket)
{
    const auto executor = co_await Asio::this_coro::executor;
    // The timer's handler may already be queued when the wait completes; the flag keeps it from using the socket.
    const auto isWaiting = std::make_shared<bool>(true);
    Asio::steady_timer timer(executor, maxWait);
    timer.async_wait([isWaiting, &socket](const boost::system::error_code& error) {
        boost::system::error_code ignored;
        if (!error && *isWaiting)
            socket.cancel(ignored);
    });
    boost::system::error_code ignored;
    co_await socket.async_wait(Asio::ip::tcp::socket::wait_error, Asio::redirect_error(Asio::use_awaitable, ignored));
    *isWaiting = false;
}

} // namespace

Task<void> closeGracefully(boost::beast::tcp_stream& stream, PendingInput pending)
{
    boost::system::error_code error;
    stream.socket().shutdown(Asio::ip::tcp::socket::shutdown_send, error);
    if (!error && pending == PendingInput::Discard)
        co_await discardInput(stream);
    if (!error && pending == PendingInput::LeaveUnread)
        co_await awaitPeerClose(stream.socket());
}

void closeWithoutWaiting(Asio::ip::tcp::socket& socket)
{
    // More than a receive buffer holds.
    constexpr std::size_t maxBytes = 256UL * 1024;
    boost::system::error_code error;
    socket.shutdown(Asio::ip::tcp::socket::shutdown_send, error);
    socket.non_blocking(true, error);
    std::array<char, readBytes> discarded; // NOLINT: contents are never read
    for (std::size_t total = 0; !error && total < maxBytes;)
        total += socket.read_some(Asio::buffer(discarded), error);
    socket.close(error);
}

} // namespace Ibisturn
