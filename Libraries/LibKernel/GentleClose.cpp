#include <LibKernel/GentleClose.h>

#include <LibCore/Clock.h>

#include <array>
#include <memory>

namespace Ibisturn {

namespace {

constexpr Duration longestWait = std::chrono::seconds(2);
constexpr std::size_t mostDiscarded = 64UL * 1024 * 1024;
constexpr std::size_t readBytes = 16UL * 1024;

Task<void> discardInput(boost::beast::tcp_stream& stream)
{
    std::array<char, readBytes> dropped; // NOLINT: contents are never read
    boost::system::error_code error;
    std::size_t total = 0;
    stream.expires_after(longestWait);
    while (!error && total < mostDiscarded)
        total += co_await stream.async_read_some(Asio::buffer(dropped), Asio::redirect_error(Asio::use_awaitable, error));
}

Task<void> awaitHangUp(Asio::ip::tcp::socket& socket)
{
    const auto executor = co_await Asio::this_coro::executor;
    // The timer's handler may already be queued when the wait completes; the flag keeps it from using the socket.
    const auto isWaiting = std::make_shared<bool>(true);
    Asio::steady_timer timer(executor, longestWait);
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

Task<void> closeGently(boost::beast::tcp_stream& stream, PendingInput pending)
{
    boost::system::error_code error;
    stream.socket().shutdown(Asio::ip::tcp::socket::shutdown_send, error);
    if (!error && pending == PendingInput::Discard)
        co_await discardInput(stream);
    if (!error && pending == PendingInput::LeaveUnread)
        co_await awaitHangUp(stream.socket());
}

} // namespace Ibisturn
