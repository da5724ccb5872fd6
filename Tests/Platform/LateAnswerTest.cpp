#include <LibKernel/Asio.h>

#include <LibCore/Error.h>
#include <LibCore/SteadyClock.h>
#include <LibHTTP/Backends/BackendClient.h>
#include <LibHTTP/Backends/BackendDialectRegistry.h>
#include <Tests/Support/EndlessServer.h>
#include <Tests/Support/RecordingSink.h>
#include <Tests/Support/ScriptedServer.h>

#include <gtest/gtest.h>

namespace Ibisturn::Testing {

namespace {

using namespace std::chrono_literals;

std::string answerTo(const std::string& id)
{
    return fmt::format("HTTP/1.1 200 OK\r\nX-Ibisturn-Request-Id: {}\r\nX-Ibisturn-Server-Seal: s\r\nKeep-Alive: timeout=30\r\nContent-Length: {}\r\n\r\n{}", id, id.size(), id);
}

/// A server sends a second copy of an answer, late, on a connection that is in use again. Requests are sent one after the
/// other on kept connections.
class LateAnswerTest : public testing::Test {
protected:
    template <typename Server>
    std::optional<Error> send(Server& server, const std::string& id, RecordingSink& sink)
    {
        BackendServer record;
        record.id = BackendServerId("i-1");
        record.endpoint = server.endpoint();
        GatewayRequest request;
        request.method = "POST";
        request.target = "/book";
        request.deadline = SteadyClock().now() + 10s;
        request.cancellation = std::make_shared<Cancellation>();
        request.routed.emplace();
        request.routed->callerId = id;
        context_.restart();
        std::optional<Error> failure;
        auto done = Asio::co_spawn(context_, run(record, request, sink, failure), Asio::use_future);
        while (done.wait_for(0s) != std::future_status::ready)
            context_.run_one();
        return failure;
    }

    Task<void> run(const BackendServer& record, const GatewayRequest& request, RecordingSink& sink, std::optional<Error>& failure)
    {
        try {
            co_await client_.run(record, request, Repeatability::Idempotent, sink);
        } catch (const Error& error) {
            failure = error;
        }
    }

    Asio::io_context context_ { 1 };
    std::unique_ptr<BackendDialect> dialect_ { BackendDialectRegistry::instance().require("backend dialect", "platform") };
    BackendClient client_ { { 1s, 10s }, *dialect_ };
};

std::string refusal(const std::string& headers)
{
    return fmt::format("HTTP/1.1 503 Service Unavailable\r\n{}X-Ibisturn-Not-Executed: 1\r\nContent-Length: 0\r\n\r\n", headers);
}

std::string stream(const std::string& id, const std::string& headers, const std::string& events)
{
    return fmt::format("HTTP/1.1 200 OK\r\nX-Ibisturn-Request-Id: {}\r\nX-Ibisturn-Server-Seal: s\r\nContent-Type: text/event-stream\r\n{}\r\n{}", id, headers, events);
}

} // namespace

TEST_F(LateAnswerTest, SecondCopyOfARefusalDoesNotSayThatTheNextRequestHasNotRun)
{
    ScriptedServer server(context_, { refusal("X-Ibisturn-Request-Id: one\r\n"), answerTo("two"), refusal("X-Ibisturn-Request-Id: one\r\n") + answerTo("three"), refusal("") });
    RecordingSink sink;
    const auto refused = send(server, "one", sink);
    ASSERT_TRUE(refused);
    EXPECT_EQ(refused->ran(), Ran::No);
    EXPECT_FALSE(send(server, "two", sink));
    RecordingSink third;
    EXPECT_FALSE(send(server, "three", third));
    EXPECT_EQ(third.body, "three");
    // This one does not say which request it refuses, on a connection that has been used.
    const auto unclear = send(server, "four", sink);
    ASSERT_TRUE(unclear);
    EXPECT_EQ(unclear->ran(), Ran::Unknown);
}

TEST_F(LateAnswerTest, RefusalOnANewConnectionNeedNotNameTheRequest)
{
    ScriptedServer server(context_, { refusal("") });
    RecordingSink sink;
    const auto refused = send(server, "one", sink);
    ASSERT_TRUE(refused);
    EXPECT_EQ(refused->ran(), Ran::No);
}

TEST_F(LateAnswerTest, StreamWithoutLengthThatEndsBetweenEventsIsComplete)
{
    ScriptedServer server(context_, { stream("one", "", "id: 1\ndata: a\n\nid: 2\ndata: b\n\n") }, ScriptedServer::AfterAnswers::Close);
    RecordingSink sink;
    EXPECT_FALSE(send(server, "one", sink));
    EXPECT_TRUE(sink.hasEnded);
    EXPECT_EQ(sink.body, "id: 1\ndata: a\n\nid: 2\ndata: b\n\n");
}

TEST_F(LateAnswerTest, StreamThatEndsWithinAnEventIsBrokenOff)
{
    const std::string events = "id: 1\ndata: a\n\nid: 2\ndata: b\n";
    for (const auto& headers : { std::string(), fmt::format("Content-Length: {}\r\n", events.size()) }) {
        ScriptedServer server(context_, { stream("one", headers, events) }, ScriptedServer::AfterAnswers::Close);
        RecordingSink sink;
        const auto failure = send(server, "one", sink);
        ASSERT_TRUE(failure) << headers;
        EXPECT_EQ(failure->code(), ResultCode::AnswerCut) << headers;
        EXPECT_FALSE(sink.hasEnded) << headers;
    }
}

TEST_F(LateAnswerTest, SecondCopyBeforeTheNextAnswerIsSkipped)
{
    ScriptedServer server(context_, { answerTo("one"), answerTo("one") + answerTo("two") });
    RecordingSink first;
    EXPECT_FALSE(send(server, "one", first));
    RecordingSink second;
    EXPECT_FALSE(send(server, "two", second));
    EXPECT_EQ(second.body, "two");
}

TEST_F(LateAnswerTest, SecondCopyAtOnceIsNotTakenForTheNextAnswer)
{
    ScriptedServer server(context_, { answerTo("one") + answerTo("one"), answerTo("two") });
    RecordingSink first;
    EXPECT_FALSE(send(server, "one", first));
    RecordingSink second;
    EXPECT_FALSE(send(server, "two", second));
    EXPECT_EQ(first.body, "one");
    EXPECT_EQ(second.body, "two");
}

TEST_F(LateAnswerTest, NoNumberOfCopiesIsTakenForAnotherAnswer)
{
    std::string copies;
    for (int copy = 0; copy < 10; ++copy)
        copies += answerTo("one");
    ScriptedServer server(context_, { answerTo("one"), copies });
    RecordingSink first;
    EXPECT_FALSE(send(server, "one", first));
    RecordingSink second;
    const auto failure = send(server, "two", second);
    ASSERT_TRUE(failure);
    EXPECT_EQ(failure->ran(), Ran::Unknown);
    EXPECT_TRUE(second.body.empty());
}

// Guards against a caller and a processor that are held until the deadline by an answer to another request without end.
TEST_F(LateAnswerTest, AnswerToAnotherRequestWithoutEndEndsTheConnection)
{
    const std::string head = "HTTP/1.1 200 OK\r\nX-Ibisturn-Request-Id: one\r\nX-Ibisturn-Server-Seal: s\r\n";
    const std::string filling(4096, 'a');
    const std::vector<std::pair<std::string, std::string>> answers {
        { head + "Transfer-Encoding: chunked\r\n\r\n", "1000\r\n" + filling + "\r\n" },
        { head + "Transfer-Encoding: chunked\r\n\r\n", "1;x=" + filling + "\r\na\r\n" },
        { head + "Transfer-Encoding: chunked\r\n\r\n0\r\n", "X-Filling: " + filling + "\r\n" },
        { head + "Content-Length: 100000000000\r\n\r\n", filling },
        { head + "\r\n", filling },
    };
    for (const auto& [start, more] : answers) {
        EndlessServer server(context_, start, more);
        RecordingSink sink;
        const auto failure = send(server, "two", sink);
        ASSERT_TRUE(failure) << start;
        EXPECT_EQ(failure->code(), ResultCode::OutcomeUnknown) << start;
        EXPECT_EQ(failure->ran(), Ran::Unknown) << start;
        EXPECT_TRUE(sink.body.empty()) << start;
        while (!server.isClosedByClient())
            context_.run_one();
        EXPECT_FALSE(server.isExhausted()) << start;
    }
}

// Guards against a request that is reported as run because an answer to another one was cut.
TEST_F(LateAnswerTest, AnswerToAnotherRequestThatIsCutSaysNothingAboutThisOne)
{
    const std::string head = "HTTP/1.1 200 OK\r\nX-Ibisturn-Request-Id: one\r\nX-Ibisturn-Server-Seal: s\r\n";
    for (const auto& headers : { std::string("Content-Length: 10\r\n"), std::string("Transfer-Encoding: chunked\r\n"), std::string() }) {
        ScriptedServer server(context_, { head + headers + "\r\n3\r\nabc\r\n" }, ScriptedServer::AfterAnswers::Close);
        RecordingSink sink;
        const auto failure = send(server, "two", sink);
        ASSERT_TRUE(failure) << headers;
        EXPECT_EQ(failure->code(), ResultCode::OutcomeUnknown) << headers;
        EXPECT_EQ(failure->ran(), Ran::Unknown) << headers;
        EXPECT_TRUE(sink.body.empty()) << headers;
    }
}

} // namespace Ibisturn::Testing
