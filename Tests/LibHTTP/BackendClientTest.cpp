#include <LibKernel/Asio.h>

#include <LibCore/Error.h>
#include <LibHTTP/Backends/BackendClient.h>

#include <gtest/gtest.h>

namespace Ibisturn {

namespace {

using namespace std::chrono_literals;

/// Answers the n-th request with the n-th text, and closes the connection if that text is empty.
class ScriptedServer {
public:
    ScriptedServer(Asio::io_context& context, std::vector<std::string> answers)
        : acceptor_(context, Asio::ip::tcp::endpoint(Asio::ip::address_v4::loopback(), 0))
        , answers_(std::move(answers))
    {
        Asio::co_spawn(context, acceptAll(), Asio::detached);
    }

    Endpoint endpoint() const { return { "127.0.0.1", acceptor_.local_endpoint().port() }; }
    std::size_t requests() const { return requests_; }
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
        }
    }

    Asio::ip::tcp::acceptor acceptor_;
    std::vector<std::string> answers_;
    std::function<void()> onRequest_;
    std::size_t requests_ { 0 };
    std::size_t closedByClient_ { 0 };
};

class RecordingSink final : public AnswerSink {
public:
    AnswerHead head;
    std::string body;
    bool hasEnded { false };

    Task<void> writeHead(const AnswerHead& newHead) override
    {
        head = newHead;
        co_return;
    }

    Task<void> writePart(std::string_view part) override
    {
        body += part;
        co_return;
    }

    Task<void> writeEnd() override
    {
        hasEnded = true;
        co_return;
    }
};

const std::string completeAnswer = "HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nok";

class BackendClientTest : public testing::Test {
protected:
    /// Sends one request and returns its error, if it failed.
    std::optional<Error> send(ScriptedServer& server, RecordingSink& sink)
    {
        record_.endpoint = server.endpoint();
        std::optional<Error> failure;
        auto done = Asio::co_spawn(context_, run(sink, failure), Asio::use_future);
        while (done.wait_for(0s) != std::future_status::ready)
            context_.run_one();
        return failure;
    }

    Task<void> run(RecordingSink& sink, std::optional<Error>& failure)
    {
        try {
            co_await client_.run(record_, request_, Repeatability::Idempotent, sink);
        } catch (const Error& error) {
            failure = error;
        }
    }

    BackendClientTest()
    {
        request_.method = "POST";
        request_.target = "/v1/completions";
        request_.cancellation = std::make_shared<Cancellation>();
    }

    Asio::io_context context_ { 1 };
    BackendClient client_ { { 1s, 10s }, openAiBackendDialect() };
    BackendServer record_;
    GatewayRequest request_;
};

} // namespace

TEST_F(BackendClientTest, NeverRepeatsARequestOnItsOwn)
{
    ScriptedServer server(context_, { completeAnswer, "", completeAnswer });
    RecordingSink sink;
    EXPECT_FALSE(send(server, sink));
    EXPECT_EQ(sink.body, "ok");
    EXPECT_TRUE(sink.hasEnded);
    RecordingSink truncated;
    const auto failure = send(server, truncated);
    ASSERT_TRUE(failure);
    EXPECT_EQ(failure->ran(), Ran::Unknown);
    EXPECT_EQ(server.requests(), 2U);
}

TEST_F(BackendClientTest, ReportsADrainingServer)
{
    ScriptedServer server(context_, { "HTTP/1.1 503 Service Unavailable\r\nConnection: close\r\nContent-Length: 0\r\n\r\n" });
    RecordingSink sink;
    EXPECT_FALSE(send(server, sink));
    EXPECT_TRUE(sink.head.isServerDraining);
}

TEST_F(BackendClientTest, ClosesTheConnectionOfACancelledRequest)
{
    ScriptedServer server(context_, { "-" });
    server.onRequest([this] { request_.cancellation->cancel(CallerDisconnected {}); });
    RecordingSink sink;
    EXPECT_TRUE(send(server, sink));
    while (server.closedByClient() == 0)
        context_.run_one();
    EXPECT_EQ(server.requests(), 1U);
}

TEST_F(BackendClientTest, WritesNothingWithoutPermission)
{
    ScriptedServer server(context_, { completeAnswer });
    request_.beforeSend = [] { throw Error(ResultCode::KeyUnknown, Ran::No, "withdrawn"); };
    RecordingSink sink;
    const auto failure = send(server, sink);
    ASSERT_TRUE(failure);
    EXPECT_EQ(failure->ran(), Ran::No);
    while (server.closedByClient() == 0)
        context_.run_one();
    EXPECT_EQ(server.requests(), 0U);
}

} // namespace Ibisturn
