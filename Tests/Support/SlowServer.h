#pragma once

#include <LibConfiguration/Settings.h>
#include <LibKernel/Asio.h>
#include <LibKernel/Pause.h>

#include <string>
#include <utility>

namespace Ibisturn::Testing {

/// A backend server that answers a request with `head`, then with `body`, one byte each `interval`, and closes the connection.
/// Thread safety: the thread that runs the event loop.
class SlowServer {
public:
    SlowServer(Asio::io_context& context, std::string head, std::string body, Duration interval)
        : acceptor_(context, Asio::ip::tcp::endpoint(Asio::ip::address_v4::loopback(), 0))
        , head_(std::move(head))
        , body_(std::move(body))
        , interval_(interval)
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
        co_await Asio::async_write(socket, Asio::buffer(head_), Asio::redirect_error(Asio::use_awaitable, error));
        for (std::size_t next = 0; next < body_.size() && !error; ++next) {
            co_await pause(interval_);
            co_await Asio::async_write(socket, Asio::buffer(body_.data() + next, 1), Asio::redirect_error(Asio::use_awaitable, error));
        }
        isClosedByClient_ = bool(error);
    }

    Asio::ip::tcp::acceptor acceptor_;
    std::string head_;
    std::string body_;
    Duration interval_;
    bool isClosedByClient_ { false };
};

} // namespace Ibisturn::Testing
