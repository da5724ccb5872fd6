#pragma once

#include <Tests/Support/LoopbackThread.h>

#include <atomic>
#include <string>

#include <boost/beast/core.hpp>
#include <boost/beast/http.hpp>

namespace Ibisturn::Testing {

/// An engine that answers immediately: with a short JSON answer or, for a body with `"stream":true`, with an event
/// stream of `eventCount` events. Thread safety: the creating thread; counters may be read from any thread.
class LoopbackEngine {
public:
    /// Each stream has `eventCount` events with a payload of `eventBytes` bytes.
    LoopbackEngine(std::size_t eventCount, std::size_t eventBytes)
        : eventCount_(eventCount)
        , event_("data: " + std::string(eventBytes, 'x') + "\n\n")
    {
        endpoint_ = worker_.listen([this](Asio::ip::tcp::socket socket) {
            Asio::co_spawn(worker_.context(), serve(std::move(socket)), Asio::detached);
        });
        worker_.start();
    }

    ~LoopbackEngine() { worker_.stop(); }
    LoopbackEngine(const LoopbackEngine&) = delete;
    LoopbackEngine& operator=(const LoopbackEngine&) = delete;

    /// The address that it listens on.
    const Endpoint& endpoint() const { return endpoint_; }

    /// Number of event bytes that were written to sockets.
    std::size_t bytesSent() const { return bytesSent_; }

    /// All events of a stream except the terminal event.
    std::string completeStream() const
    {
        std::string stream;
        for (std::size_t index = 0; index < eventCount_; ++index)
            stream += event_;
        return stream;
    }

private:
    using Request = boost::beast::http::request<boost::beast::http::string_body>;

    Task<void> serve(Asio::ip::tcp::socket socket)
    {
        boost::system::error_code error;
        socket.set_option(Asio::ip::tcp::no_delay(true), error);
        boost::beast::flat_buffer buffer;
        while (!error) {
            Request request;
            co_await boost::beast::http::async_read(socket, buffer, request, Asio::redirect_error(Asio::use_awaitable, error));
            if (error)
                break;
            if (request.body().find(R"("stream":true)") == std::string::npos)
                error = co_await answer(socket);
            else
                error = co_await stream(socket);
        }
    }

    static Task<boost::system::error_code> answer(Asio::ip::tcp::socket& socket)
    {
        static const std::string text = "HTTP/1.1 200 OK\r\nContent-Type: application/json\r\nContent-Length: 15\r\n\r\n{\"choices\":[ ]}";
        boost::system::error_code error;
        co_await Asio::async_write(socket, Asio::buffer(text), Asio::redirect_error(Asio::use_awaitable, error));
        co_return error;
    }

    Task<boost::system::error_code> stream(Asio::ip::tcp::socket& socket)
    {
        static const std::string head = "HTTP/1.1 200 OK\r\nContent-Type: text/event-stream\r\nTransfer-Encoding: chunked\r\n\r\n";
        static const std::string end = "e\r\ndata: [DONE]\n\n\r\n0\r\n\r\n";
        const std::string chunk = fmt::format("{:x}\r\n{}\r\n", event_.size(), event_);
        boost::system::error_code error;
        co_await Asio::async_write(socket, Asio::buffer(head), Asio::redirect_error(Asio::use_awaitable, error));
        for (std::size_t index = 0; index < eventCount_ && !error; ++index) {
            co_await Asio::async_write(socket, Asio::buffer(chunk), Asio::redirect_error(Asio::use_awaitable, error));
            bytesSent_ += event_.size();
        }
        if (!error)
            co_await Asio::async_write(socket, Asio::buffer(end), Asio::redirect_error(Asio::use_awaitable, error));
        co_return error;
    }

    std::size_t eventCount_;
    std::string event_;
    std::atomic<std::size_t> bytesSent_ { 0 };
    Endpoint endpoint_;
    LoopbackThread worker_;
};

} // namespace Ibisturn::Testing
