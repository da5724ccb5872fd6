#pragma once

#include <LibConfiguration/Settings.h>
#include <LibKernel/Asio.h>

#include <functional>
#include <string>
#include <utility>
#include <vector>

namespace Ibisturn::Testing {

/// A backend server that answers the n-th request with the n-th text, and closes the connection if that text is empty.
/// Thread safety: the thread that runs the event loop.
class ScriptedServer {
public:
    enum class AfterAnswers : std::uint8_t {
        KeepOpen,
        /// The connection ends with each answer.
        Close,
        /// The connection ends with the last answer.
        CloseAfterLast,
    };

    ScriptedServer(Asio::io_context& context, std::vector<std::string> answers, AfterAnswers afterAnswers = AfterAnswers::KeepOpen)
        : acceptor_(context, Asio::ip::tcp::endpoint(Asio::ip::address_v4::loopback(), 0))
        , answers_(std::move(answers))
        , afterAnswers_(afterAnswers)
    {
        Asio::co_spawn(context, acceptAll(), Asio::detached);
    }

    Endpoint endpoint() const { return { "127.0.0.1", acceptor_.local_endpoint().port() }; }
    std::size_t requests() const { return requests_; }
    std::size_t connections() const { return connections_; }
    std::size_t closedByClient() const { return closedByClient_; }
    void onRequest(std::function<void()> callback) { onRequest_ = std::move(callback); }

private:
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
            const auto size = co_await Asio::async_read_until(socket, Asio::dynamic_buffer(received), "\r\n\r\n", Asio::redirect_error(Asio::use_awaitable, error));
            if (error) {
                ++closedByClient_;
                co_return;
            }
            received.erase(0, size);
            const std::string answer = answers_.at(requests_++);
            if (onRequest_)
                onRequest_();
            if (answer.empty())
                co_return;
            // The text "-" means no answer; the client keeps waiting.
            if (answer != "-")
                co_await Asio::async_write(socket, Asio::buffer(answer), Asio::redirect_error(Asio::use_awaitable, error));
            const bool isLast = requests_ == answers_.size();
            if (afterAnswers_ == AfterAnswers::Close || (afterAnswers_ == AfterAnswers::CloseAfterLast && isLast))
                co_return;
        }
    }

    Asio::ip::tcp::acceptor acceptor_;
    std::vector<std::string> answers_;
    AfterAnswers afterAnswers_;
    std::function<void()> onRequest_;
    std::size_t requests_ { 0 };
    std::size_t connections_ { 0 };
    std::size_t closedByClient_ { 0 };
};

} // namespace Ibisturn::Testing
