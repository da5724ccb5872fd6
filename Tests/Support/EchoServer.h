#pragma once

#include <Tests/Support/LoopbackThread.h>

#include <mutex>
#include <string>
#include <vector>

#include <boost/beast/core.hpp>
#include <boost/beast/http.hpp>

namespace Ibisturn::Testing {

/// A backend server of the platform that runs each request at once and answers with its target and body. Thread safety: any thread.
class EchoServer {
public:
    EchoServer()
    {
        endpoint_ = thread_.listen([this](Asio::ip::tcp::socket socket) { Asio::co_spawn(thread_.context(), serve(std::move(socket)), Asio::detached); });
        thread_.start();
    }

    ~EchoServer() { thread_.stop(); }
    EchoServer(const EchoServer&) = delete;
    EchoServer& operator=(const EchoServer&) = delete;

    const Endpoint& endpoint() const { return endpoint_; }

    /// The targets of the requests that it ran, in their order.
    std::vector<std::string> targets() const
    {
        const std::scoped_lock lock(mutex_);
        return targets_;
    }

private:
    Task<void> serve(Asio::ip::tcp::socket socket)
    {
        namespace Http = boost::beast::http;
        boost::system::error_code error;
        boost::beast::flat_buffer buffer;
        while (!error) {
            Http::request<Http::string_body> request;
            co_await Http::async_read(socket, buffer, request, Asio::redirect_error(Asio::use_awaitable, error));
            if (error)
                co_return;
            const std::string target(request.target().data(), request.target().size());
            record(target);
            Http::response<Http::string_body> answer(Http::status::ok, 11);
            answer.set("X-Ibisturn-Request-Id", request["X-Ibisturn-Request-Id"]);
            answer.set("X-Ibisturn-Server-Seal", "s");
            answer.set("Keep-Alive", "timeout=30");
            answer.body() = target + " " + request.body();
            answer.prepare_payload();
            co_await Http::async_write(socket, answer, Asio::redirect_error(Asio::use_awaitable, error));
        }
    }

    void record(const std::string& target)
    {
        const std::scoped_lock lock(mutex_);
        targets_.push_back(target);
    }

    LoopbackThread thread_;
    Endpoint endpoint_;
    mutable std::mutex mutex_;
    std::vector<std::string> targets_;
};

} // namespace Ibisturn::Testing
