#include "LinkRelay.h"

#include <array>
#include <utility>

namespace Ibisturn::Scenarios {

namespace {

constexpr std::size_t relayBufferBytes = 16384;

Asio::ip::tcp::endpoint toAsio(const Endpoint& endpoint)
{
    return { Asio::ip::make_address(endpoint.address), endpoint.port };
}

} // namespace

LinkRelay::LinkRelay(Endpoint target)
    : acceptor_(context_, toAsio({ "127.0.0.1", 0 }))
    , target_(std::move(target))
{
    Asio::co_spawn(context_, accept(), Asio::detached);
    thread_ = std::thread([this] { context_.run(); });
}

LinkRelay::~LinkRelay()
{
    context_.stop();
    thread_.join();
}

Endpoint LinkRelay::endpoint() const
{
    return { "127.0.0.1", acceptor_.local_endpoint().port() };
}

void LinkRelay::setTarget(Endpoint target)
{
    const std::scoped_lock lock(mutex_);
    target_ = std::move(target);
}

void LinkRelay::cut()
{
    const std::scoped_lock lock(mutex_);
    isCut_ = true;
    Asio::post(context_, [this] {
        for (const auto& weak : sockets_) {
            boost::system::error_code ignored;
            if (const auto socket = weak.lock())
                socket->close(ignored);
        }
        sockets_.clear();
    });
}

void LinkRelay::heal()
{
    const std::scoped_lock lock(mutex_);
    isCut_ = false;
}

Task<void> LinkRelay::accept()
{
    for (;;) {
        auto socket = std::make_shared<Socket>(context_);
        co_await acceptor_.async_accept(*socket, Asio::use_awaitable);
        const std::scoped_lock lock(mutex_);
        if (!isCut_)
            Asio::co_spawn(context_, serve(std::move(socket)), Asio::detached);
    }
}

Task<void> LinkRelay::serve(SocketPointer callerSocket)
{
    auto targetSocket = std::make_shared<Socket>(context_);
    Asio::ip::tcp::endpoint target;
    {
        const std::scoped_lock lock(mutex_);
        target = toAsio(target_);
    }
    sockets_.emplace_back(callerSocket);
    sockets_.emplace_back(targetSocket);
    boost::system::error_code error;
    co_await targetSocket->async_connect(target, Asio::redirect_error(Asio::use_awaitable, error));
    if (error)
        co_return;
    Asio::co_spawn(context_, relay(callerSocket, targetSocket), Asio::detached);
    Asio::co_spawn(context_, relay(targetSocket, callerSocket), Asio::detached);
}

Task<void> LinkRelay::relay(SocketPointer from, SocketPointer to)
{
    std::array<char, relayBufferBytes> bytes {};
    boost::system::error_code error;
    while (!error) {
        const auto count = co_await from->async_read_some(Asio::buffer(bytes), Asio::redirect_error(Asio::use_awaitable, error));
        if (!error)
            co_await Asio::async_write(*to, Asio::buffer(bytes.data(), count), Asio::redirect_error(Asio::use_awaitable, error));
    }
    boost::system::error_code ignored;
    from->close(ignored);
    to->close(ignored);
}

} // namespace Ibisturn::Scenarios
