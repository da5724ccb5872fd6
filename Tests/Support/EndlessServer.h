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
    /// The server pauses for good after this many bytes, so that a client that keeps them all does not exhaust the machine. Less
    /// than half of the memory of a small instance.
    static constexpr std::size_t maxBytes = 64UL * 1024 * 1024;

    EndlessServer(Asio::io_context& context, std::string start, std::string filling)
        : acceptor_(context, Asio::ip::tcp::endpoint(Asio::ip::address_v4::loopback(), 0))
        , start_(std::move(start))
        , filling_(std::move(filling))
    {
        Asio::co_spawn(context, serve(), Asio::detached);
    }

    Endpoint endpoint() const { return { "127.0.0.1", acceptor_.local_endpoint().port() }; }
    bool isClosedByClient() const { return isClosedByClient_; }
    /// Whether the client has taken all bytes without closing the connection.
    bool isExhausted() const { return sentBytes_ >= maxBytes; }

private:
    Task<void> serve()
    {
        boost::system::error_code error;
        auto socket = co_await acceptor_.async_accept(Asio::use_awaitable);
        std::string received;
        co_await Asio::async_read_until(socket, Asio::dynamic_buffer(received), "\r\n\r\n", Asio::redirect_error(Asio::use_awaitable, error));
        co_await Asio::async_write(socket, Asio::buffer(start_), Asio::redirect_error(Asio::use_awaitable, error));
        while (!error && !isExhausted())
            sentBytes_ += co_await Asio::async_write(socket, Asio::buffer(filling_), Asio::redirect_error(Asio::use_awaitable, error));
        char unexpected = 0;
        while (!error)
            co_await socket.async_read_some(Asio::buffer(&unexpected, 1), Asio::redirect_error(Asio::use_awaitable, error));
        isClosedByClient_ = true;
    }

    Asio::ip::tcp::acceptor acceptor_;
    std::string start_;
    std::string filling_;
    std::size_t sentBytes_ { 0 };
    bool isClosedByClient_ { false };
};

} // namespace Ibisturn::Testing
