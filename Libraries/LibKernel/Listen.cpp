#include <LibKernel/Listen.h>

#include <LibKernel/Pause.h>

namespace Ibisturn {

namespace {

/// Delay after a failed accept, for example when file descriptors are exhausted, instead of a busy loop.
constexpr Duration retryDelay = std::chrono::milliseconds(20);
/// Connections accepted in one pass of the event loop. One in each pass would be too few while a pass takes long.
constexpr std::size_t maxAcceptsPerPass = 32;

} // namespace

Asio::ip::tcp::acceptor listenOn(Asio::io_context& context, const Endpoint& endpoint)
{
    return { context, Asio::ip::tcp::endpoint(Asio::ip::make_address(endpoint.address), endpoint.port) };
}

Task<void> acceptConnections(Asio::ip::tcp::acceptor& acceptor, WorkerPool& workers, std::function<void(Asio::ip::tcp::socket, std::size_t)> serve)
{
    acceptor.non_blocking(true);
    std::size_t acceptsInPass = 0;
    for (;;) {
        const auto worker = workers.nextIndex();
        Asio::ip::tcp::socket socket(workers.context(worker));
        boost::system::error_code error = Asio::error::would_block;
        if (acceptsInPass > 0 && acceptsInPass < maxAcceptsPerPass)
            acceptor.accept(socket, error);
        if (error == Asio::error::would_block) {
            acceptsInPass = 0;
            co_await acceptor.async_accept(socket, Asio::redirect_error(Asio::use_awaitable, error));
        }
        if (error == Asio::error::operation_aborted || !acceptor.is_open())
            co_return;
        if (error) {
            co_await pause(retryDelay);
            continue;
        }
        ++acceptsInPass;
        serve(std::move(socket), worker);
    }
}

} // namespace Ibisturn
