#pragma once

#include <LibConfiguration/Settings.h>
#include <LibKernel/Asio.h>

#include <string>
#include <utility>

namespace Ibisturn::Testing {

/// A faulty backend server that answers a request with `start`, and then with copies of `filling` until the client closes the
/// connection. Thread safety: the thread that runs the event loop.
class EndlessServer {
public:
    EndlessServer(Asio::io_context& context, std::string start, std::string filling)
        : acceptor_(context, Asio::ip::tcp::endpoint(Asio::ip::address_v4::loopback(), 0))
        , start_(std::move(start))
        , filling_(std::move(filling))
    {
        Asio::co_spawn(context, serve(), Asio::detached);
    }

    Endpoint endpoint() const { return { "127.0.0.1", acceptor_.local_endpoint().port() }; }
    bool isClosedByClient() const { return isClosedByClient_; }

private:
    Task<void> serve()
    {
        boost::system::error_code error;
        auto socket = co_await acceptor_.async_accept(Asio::use_awaitable);
        std::string received;
        co_await Asio::async_read_until(socket, Asio::dynamic_buffer(received), "\r\n\r\n", Asio::redirect_error(Asio::use_awaitable, error));
        co_await Asio::async_write(socket, Asio::buffer(start_), Asio::redirect_error(Asio::use_awaitable, error));
        while (!error)
            co_await Asio::async_write(socket, Asio::buffer(filling_), Asio::redirect_error(Asio::use_awaitable, error));
        isClosedByClient_ = true;
    }

    Asio::ip::tcp::acceptor acceptor_;
    std::string start_;
    std::string filling_;
    bool isClosedByClient_ { false };
};

} // namespace Ibisturn::Testing
