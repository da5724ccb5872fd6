#include <LibKernel/Listen.h>

#include <LibCore/Log.h>
#include <LibKernel/Pause.h>
#include <LibKernel/SocketOptions.h>

#include <utility>

namespace Ibisturn {

namespace {

/// Delay after a failed accept, for example when file descriptors are exhausted, instead of a busy loop.
constexpr Duration retryDelay = std::chrono::milliseconds(20);
/// Connections accepted in one pass of the event loop. One in each pass would be too few while a pass takes long.
constexpr std::size_t maxAcceptsPerPass = 32;
/// Delay between attempts to listen on an address that another socket uses.
constexpr Duration listenRetryDelay = std::chrono::milliseconds(100);
constexpr std::uint64_t attemptsPerLogLine = 100;
constexpr Log listenLog("listen");

boost::system::error_code tryListen(Asio::ip::tcp::acceptor& acceptor, const ListenAddress& address)
{
    const Asio::ip::tcp::endpoint local(Asio::ip::make_address(address.endpoint.address), address.endpoint.port);
    boost::system::error_code error;
    acceptor.open(local.protocol(), error);
    if (!error)
        acceptor.set_option(Asio::socket_base::reuse_address(true), error);
    if (!error && address.receiveBuffer == ReceiveBuffer::Limited)
        limitReceiveBuffer(acceptor.native_handle());
    if (!error)
        acceptor.bind(local, error);
    if (!error)
        acceptor.listen(Asio::socket_base::max_listen_connections, error);
    if (error) {
        boost::system::error_code ignored;
        acceptor.close(ignored);
    }
    return error;
}

} // namespace

Asio::ip::tcp::acceptor listenOn(Asio::io_context& context, const Endpoint& endpoint)
{
    return { context, Asio::ip::tcp::endpoint(Asio::ip::make_address(endpoint.address), endpoint.port) };
}

Task<void> listenWhenFree(Asio::ip::tcp::acceptor& acceptor, ListenAddress address, std::function<void()> onRetry)
{
    for (std::uint64_t attempt = 0;; ++attempt) {
        const auto error = tryListen(acceptor, address);
        if (!error && attempt > 0)
            listenLog.info("The address is free again.", { { "listener", address.listener }, { "address", address.endpoint.toString() } });
        if (!error)
            co_return;
        if (error != Asio::error::address_in_use)
            throw boost::system::system_error(error, fmt::format("Cannot listen for {} on {}", address.listener, address.endpoint.toString()));
        if (attempt % attemptsPerLogLine == 0)
            listenLog.warning("The address is in use; trying again.", { { "listener", address.listener }, { "address", address.endpoint.toString() } });
        onRetry();
        co_await pause(listenRetryDelay);
    }
}

Task<void> acceptConnections(Asio::ip::tcp::acceptor& acceptor, WorkerPool& workers, std::function<void(Asio::ip::tcp::socket, std::size_t)> serve)
{
    acceptor.non_blocking(true);
    std::size_t acceptsInPass = 0;
    for (;;) {
        boost::system::error_code error = Asio::error::would_block;
        try {
            const auto worker = workers.nextIndex();
            Asio::ip::tcp::socket socket(workers.context(worker));
            if (acceptsInPass > 0 && acceptsInPass < maxAcceptsPerPass)
                acceptor.accept(socket, error);
            if (error == Asio::error::would_block) {
                acceptsInPass = 0;
                co_await acceptor.async_accept(socket, Asio::redirect_error(Asio::use_awaitable, error));
            }
            if (error == Asio::error::operation_aborted || !acceptor.is_open())
                co_return;
            if (!error) {
                ++acceptsInPass;
                serve(std::move(socket), worker);
            }
        } catch (const std::exception& failure) {
            listenLog.error("A connection could not be served.", { { "reason", failure.what() } });
        }
        if (error)
            co_await pause(retryDelay);
    }
}

} // namespace Ibisturn
