#pragma once

#include <LibConfiguration/Settings.h>
#include <LibKernel/Asio.h>

#include <algorithm>
#include <charconv>
#include <string>
#include <string_view>
#include <utility>
#include <vector>

namespace Ibisturn::Testing {

/// A backend server that answers each request as soon as it has read the request's head, while the body is still being sent.
/// Thread safety: the thread that runs the event loop.
class EarlyAnswerServer {
public:
    /// More than the buffers of a connection take in, so that a request of this size is cut if its body is not read.
    static constexpr std::size_t largeBody = 2UL * 1024 * 1024;

    enum class Then : std::uint8_t {
        /// Resets the connection without reading the request's body.
        Reset,
        /// Ends its side of the connection, and then resets it without reading the request's body.
        EndAndReset,
        /// Reads the request's body and then resets the connection.
        ReadAndReset,
        /// Reads the request's body and then closes the connection.
        ReadAndClose,
        /// Reads the request's body and then answers the next request.
        ReadOn,
    };

    EarlyAnswerServer(Asio::io_context& context, std::string answer, Then then)
        : acceptor_(context, Asio::ip::tcp::endpoint(Asio::ip::address_v4::loopback(), 0))
        , answer_(std::move(answer))
        , then_(then)
    {
        // Accepted connections inherit it.
        acceptor_.set_option(Asio::socket_base::receive_buffer_size(64 * 1024));
        Asio::co_spawn(context, acceptAll(), Asio::detached);
    }

    Endpoint endpoint() const { return { "127.0.0.1", acceptor_.local_endpoint().port() }; }
    std::size_t requests() const { return requests_; }
    std::size_t connections() const { return connections_; }

private:
    /// In this time the client receives what the server has sent, and fills the connection's buffers.
    static constexpr auto transferTime = std::chrono::milliseconds(100);

    Task<void> acceptAll()
    {
        boost::system::error_code error;
        for (;;) {
            Asio::ip::tcp::socket socket(acceptor_.get_executor());
            co_await acceptor_.async_accept(socket, Asio::redirect_error(Asio::use_awaitable, error));
            if (error)
                co_return;
            ++connections_;
            Asio::co_spawn(acceptor_.get_executor(), serve(std::move(socket)), Asio::detached);
        }
    }

    Task<void> serve(Asio::ip::tcp::socket socket)
    {
        boost::system::error_code error;
        std::string received;
        for (;;) {
            const auto headSize = co_await Asio::async_read_until(socket, Asio::dynamic_buffer(received), "\r\n\r\n", Asio::redirect_error(Asio::use_awaitable, error));
            if (error)
                co_return;
            ++requests_;
            const auto bodySize = bodySizeOf(std::string_view(received).substr(0, headSize));
            const auto bodyRead = received.size() - headSize;
            received.clear();
            co_await Asio::async_write(socket, Asio::buffer(answer_), Asio::redirect_error(Asio::use_awaitable, error));
            if (then_ == Then::EndAndReset)
                socket.shutdown(Asio::ip::tcp::socket::shutdown_send, error);
            const bool readsBody = then_ == Then::ReadAndReset || then_ == Then::ReadAndClose || then_ == Then::ReadOn;
            if (readsBody)
                co_await discard(socket, bodySize - bodyRead);
            if (then_ == Then::ReadOn)
                continue;
            Asio::steady_timer timer(acceptor_.get_executor(), transferTime);
            co_await timer.async_wait(Asio::use_awaitable);
            // Closing a socket whose linger time is zero resets the connection. The destructor of the socket would set another time.
            if (then_ != Then::ReadAndClose)
                socket.set_option(Asio::socket_base::linger(true, 0));
            socket.close(error);
            co_return;
        }
    }

    static std::size_t bodySizeOf(std::string_view head)
    {
        constexpr std::string_view name = "Content-Length: ";
        std::size_t size = 0;
        const auto found = head.find(name);
        if (found != std::string_view::npos)
            std::from_chars(head.data() + found + name.size(), head.data() + head.size(), size);
        return size;
    }

    static Task<void> discard(Asio::ip::tcp::socket& socket, std::size_t size)
    {
        boost::system::error_code error;
        std::vector<char> part(64UL * 1024);
        while (size > 0 && !error)
            size -= co_await socket.async_read_some(Asio::buffer(part.data(), std::min(part.size(), size)), Asio::redirect_error(Asio::use_awaitable, error));
    }

    Asio::ip::tcp::acceptor acceptor_;
    std::string answer_;
    Then then_;
    std::size_t requests_ { 0 };
    std::size_t connections_ { 0 };
};

} // namespace Ibisturn::Testing
