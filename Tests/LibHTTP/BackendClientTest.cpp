#include <LibKernel/Asio.h>

#include <LibCore/Error.h>
#include <LibCore/SteadyClock.h>
#include <LibHTTP/Backends/AnswerBoundError.h>
#include <LibHTTP/Backends/BackendClient.h>
#include <LibHTTP/Backends/InvalidAnswerError.h>
#include <Tests/Support/EarlyAnswerServer.h>
#include <Tests/Support/EndlessServer.h>
#include <Tests/Support/RecordingSink.h>
#include <Tests/Support/ScriptedServer.h>

#include <array>

#include <gtest/gtest.h>

namespace Ibisturn {

namespace {

using namespace std::chrono_literals;
using Testing::EarlyAnswerServer;
using Testing::EndlessServer;
using Testing::RecordingSink;
using Testing::ScriptedServer;

const std::string closingAnswer = "HTTP/1.1 200 OK\r\nConnection: close\r\nContent-Length: 1\r\n\r\n7";
const std::string completeAnswer = "HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nok";

/// Answers one request, and then sends `rest` or, if that is empty, ends its side of the connection. Tells whether the client
/// closed the connection after that.
class OneAnswerServer {
public:
    OneAnswerServer(Asio::io_context& context, std::string rest)
        : acceptor_(context, Asio::ip::tcp::endpoint(Asio::ip::address_v4::loopback(), 0))
        , rest_(std::move(rest))
    {
        Asio::co_spawn(context, serve(), Asio::detached);
    }

    Endpoint endpoint() const { return { "127.0.0.1", acceptor_.local_endpoint().port() }; }
    bool wasClosed() const { return wasClosed_; }

private:
    Task<void> serve()
    {
        Asio::ip::tcp::socket socket = co_await acceptor_.async_accept(Asio::use_awaitable);
        std::string request;
        co_await Asio::async_read_until(socket, Asio::dynamic_buffer(request), "\r\n\r\n", Asio::use_awaitable);
        co_await Asio::async_write(socket, Asio::buffer(completeAnswer), Asio::use_awaitable);
        Asio::steady_timer timer(acceptor_.get_executor(), 50ms);
        co_await timer.async_wait(Asio::use_awaitable);
        boost::system::error_code error;
        if (rest_.empty())
            socket.shutdown(Asio::ip::tcp::socket::shutdown_send, error);
        else
            co_await Asio::async_write(socket, Asio::buffer(rest_), Asio::redirect_error(Asio::use_awaitable, error));
        std::array<char, 1024> bytes {};
        while (!error)
            co_await socket.async_read_some(Asio::buffer(bytes), Asio::redirect_error(Asio::use_awaitable, error));
        wasClosed_ = true;
    }

    Asio::ip::tcp::acceptor acceptor_;
    std::string rest_;
    bool wasClosed_ { false };
};

class BackendClientTest : public testing::Test {
protected:
    /// Sends one request and returns its error, if it failed.
    template <typename Server>
    std::optional<Error> send(Server& server, RecordingSink& sink)
    {
        record_.endpoint = server.endpoint();
        context_.restart();
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
            isSpoiled_ = dynamic_cast<const InvalidAnswerError*>(&error) || dynamic_cast<const AnswerBoundError*>(&error);
            failure = error;
        }
    }

    explicit BackendClientTest(const BackendDialect& dialect = openAiBackendDialect())
        : client_({ 1s, 10s }, dialect, nullptr, [this](const Endpoint&) { ++closedEarly_; })
    {
        request_.method = "POST";
        request_.target = "/v1/completions";
        request_.cancellation = std::make_shared<Cancellation>();
        request_.deadline = SteadyClock().now() + 10s;
    }

    Asio::io_context context_ { 1 };
    /// Idle connections that were reported as closed before their time.
    std::size_t closedEarly_ { 0 };
    BackendClient client_;
    BackendServer record_;
    GatewayRequest request_;
    /// Whether the last error says that what came was no answer.
    bool isSpoiled_ { false };
};

/// Servers that say which process they are by a number.
class NumberedProcessDialect final : public BackendDialect {
public:
    Request makeRequest(const BackendServer& server, const GatewayRequest& request, TimePoint now) const override { return openAiBackendDialect().makeRequest(server, request, now); }
    AnswerHeadInfo readAnswer(const AnswerFields& answer, const GatewayRequest& request) const override { return openAiBackendDialect().readAnswer(answer, request); }
    std::string_view processTarget() const override { return "/process"; }
    std::optional<StartTime> readProcess(std::string_view body) const override { return body == "?" ? std::nullopt : std::optional(StartTime(std::stoll(std::string(body)))); }
};

class ProcessCheckTest : public BackendClientTest {
protected:
    static std::string processAnswer(int number) { return fmt::format("HTTP/1.1 200 OK\r\nContent-Length: 1\r\n\r\n{}", number); }

    ProcessCheckTest()
        : BackendClientTest(numberedProcesses)
    {
        request_.needsProcess = true;
        request_.beforeSend = [this](const std::optional<ServerProcess>& process) {
            processes_.push_back(process ? process->started : std::nullopt);
            if (rejects_)
                throw Error(ResultCode::NoBackendServer, Ran::No, "rejected");
        };
    }

    static const NumberedProcessDialect numberedProcesses;
    std::vector<std::optional<StartTime>> processes_;
    bool rejects_ { false };
};

const NumberedProcessDialect ProcessCheckTest::numberedProcesses;

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

TEST_F(ProcessCheckTest, AsksANewConnectionForItsProcess)
{
    ScriptedServer server(context_, { processAnswer(7), completeAnswer, completeAnswer });
    RecordingSink sink;
    EXPECT_FALSE(send(server, sink));
    RecordingSink second;
    EXPECT_FALSE(send(server, second));
    EXPECT_EQ(server.requests(), 3U);
    EXPECT_EQ(server.connections(), 1U);
    EXPECT_EQ(processes_, (std::vector<std::optional<StartTime>> { StartTime(7), StartTime(7) }));
}

// Guards against a request that needs the process and takes a connection of one that did not ask.
TEST_F(ProcessCheckTest, AConnectionWhoseProcessIsUnknownIsNotReused)
{
    ScriptedServer server(context_, { completeAnswer, processAnswer(7), completeAnswer, completeAnswer });
    RecordingSink sink;
    request_.needsProcess = false;
    EXPECT_FALSE(send(server, sink));
    request_.needsProcess = true;
    EXPECT_FALSE(send(server, sink));
    request_.needsProcess = false;
    EXPECT_FALSE(send(server, sink));
    EXPECT_EQ(processes_, (std::vector<std::optional<StartTime>> { std::nullopt, StartTime(7), StartTime(7) }));
    EXPECT_EQ(server.connections(), 2U);
}

TEST_F(ProcessCheckTest, SendsNothingIfTheProcessIsRejected)
{
    ScriptedServer server(context_, { processAnswer(7), completeAnswer });
    rejects_ = true;
    RecordingSink sink;
    const auto failure = send(server, sink);
    ASSERT_TRUE(failure);
    EXPECT_EQ(failure->ran(), Ran::No);
    while (server.closedByClient() == 0)
        context_.run_one();
    EXPECT_EQ(server.requests(), 1U);
}

// Another process may be behind the second connection.
TEST_F(ProcessCheckTest, AsksAgainIfTheServerClosesTheConnectionAfterItsAnswer)
{
    ScriptedServer server(context_, { closingAnswer, processAnswer(8), completeAnswer });
    RecordingSink sink;
    EXPECT_FALSE(send(server, sink));
    EXPECT_EQ(server.connections(), 2U);
    EXPECT_EQ(processes_, std::vector<std::optional<StartTime>> { StartTime(8) });
}

TEST_F(ProcessCheckTest, SendsNothingToAServerThatClosesEachConnection)
{
    ScriptedServer server(context_, { closingAnswer, closingAnswer });
    RecordingSink sink;
    const auto failure = send(server, sink);
    ASSERT_TRUE(failure);
    EXPECT_EQ(failure->ran(), Ran::No);
    EXPECT_EQ(server.requests(), 2U);
    EXPECT_TRUE(processes_.empty());
}

TEST_F(ProcessCheckTest, ServerThatDoesNotSayIsUsedWithAnUnknownProcess)
{
    for (const auto* answer : { "HTTP/1.1 404 Not Found\r\nContent-Length: 1\r\n\r\n7", "HTTP/1.1 503 Service Unavailable\r\nContent-Length: 0\r\n\r\n", "HTTP/1.1 200 OK\r\nContent-Length: 1\r\n\r\n?" }) {
        processes_.clear();
        ScriptedServer server(context_, { answer, completeAnswer });
        RecordingSink sink;
        EXPECT_FALSE(send(server, sink)) << answer;
        // What follows the first answer can't be taken for the request's.
        EXPECT_EQ(server.connections(), 2U);
        EXPECT_EQ(processes_, std::vector<std::optional<StartTime>> { std::nullopt });
    }
}

TEST_F(ProcessCheckTest, BytesBehindTheAnswerAreNotTakenForTheNextOne)
{
    ScriptedServer server(context_, { processAnswer(7) + completeAnswer, processAnswer(7), "HTTP/1.1 200 OK\r\nContent-Length: 3\r\n\r\nown" });
    RecordingSink sink;
    EXPECT_FALSE(send(server, sink));
    EXPECT_EQ(sink.body, "own");
}

TEST_F(ProcessCheckTest, AnswerThatIsNoHttpHasSentNothing)
{
    ScriptedServer server(context_, { "no HTTP at all\r\n\r\n" });
    RecordingSink sink;
    const auto failure = send(server, sink);
    ASSERT_TRUE(failure);
    EXPECT_EQ(failure->ran(), Ran::No);
    EXPECT_TRUE(isSpoiled_);
}

// A slow server is no evidence that its process has ended.
TEST_F(ProcessCheckTest, SilentServerIsNotReportedAsUnreachable)
{
    ScriptedServer server(context_, { "-" });
    RecordingSink sink;
    const auto failure = send(server, sink);
    ASSERT_TRUE(failure);
    EXPECT_EQ(failure->code(), ResultCode::BackendTimeout);
    EXPECT_EQ(failure->ran(), Ran::No);
}

TEST_F(ProcessCheckTest, RequestHasNotRunIfTheConnectionIsLostBefore)
{
    ScriptedServer server(context_, { "" });
    RecordingSink sink;
    const auto failure = send(server, sink);
    ASSERT_TRUE(failure);
    EXPECT_EQ(failure->code(), ResultCode::BackendUnreachable);
    EXPECT_EQ(failure->ran(), Ran::No);
    EXPECT_TRUE(processes_.empty());
}

TEST_F(BackendClientTest, ClosesAnIdleConnectionWhoseServerHasEnded)
{
    OneAnswerServer server(context_, "");
    RecordingSink sink;
    EXPECT_FALSE(send(server, sink));
    context_.run_for(1s);
    EXPECT_TRUE(server.wasClosed());
}

TEST_F(BackendClientTest, ClosesAnIdleConnectionWhoseServerSendsBytesThatNobodyReads)
{
    OneAnswerServer server(context_, "no answer");
    RecordingSink sink;
    EXPECT_FALSE(send(server, sink));
    context_.run_for(1s);
    EXPECT_TRUE(server.wasClosed());
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
    request_.beforeSend = [](const auto& /*process*/) { throw Error(ResultCode::KeyUnknown, Ran::No, "withdrawn"); };
    RecordingSink sink;
    const auto failure = send(server, sink);
    ASSERT_TRUE(failure);
    EXPECT_EQ(failure->ran(), Ran::No);
    while (server.closedByClient() == 0)
        context_.run_one();
    EXPECT_EQ(server.requests(), 0U);
}

// A faulty backend server may send bytes that are no answer until its client closes the connection.
TEST_F(BackendClientTest, ClosesTheConnectionOfAnEndlessHead)
{
    const std::vector<std::pair<std::string, std::string>> heads {
        { "", "xxxxxxxxxxxxxxxx" },
        { "HTTP/1.1 200 OK\r\n", "X-Filling: abcdefgh\r\n" },
        { "HTTP/1.1 200 OK\r\nX-Filling: ", "abcdefghabcdefgh" },
    };
    for (const auto& [start, filling] : heads) {
        EndlessServer server(context_, start, filling);
        RecordingSink sink;
        const auto failure = send(server, sink);
        ASSERT_TRUE(failure) << start;
        EXPECT_EQ(failure->ran(), Ran::Unknown) << start;
        while (!server.isClosedByClient())
            context_.run_one();
        EXPECT_TRUE(sink.body.empty()) << start;
    }
}

// Guards against an instance that runs out of memory on a chunk header, an extension or a trailer without end: these are no part of
// the body, and grow in the connection's buffer.
TEST_F(BackendClientTest, ClosesTheConnectionOfAnEndlessChunkHeaderOrTrailer)
{
    const std::string head = "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n";
    const std::vector<std::pair<std::string, std::string>> bodies {
        { head, std::string(4096, 'a') },
        { head + "2;", std::string(4096, 'a') },
        { head + "2\r\nok\r\n", std::string(4096, 'a') },
        { head + "2\r\nok\r\n0\r\n", std::string(4096, 'a') },
        { head + "2\r\nok\r\n0\r\n", "X-Filling: " + std::string(4096, 'a') + "\r\n" },
    };
    for (const auto& [start, filling] : bodies) {
        EndlessServer server(context_, start, filling);
        RecordingSink sink;
        const auto failure = send(server, sink);
        ASSERT_TRUE(failure) << start;
        EXPECT_EQ(failure->code(), ResultCode::AnswerCut) << start;
        EXPECT_EQ(failure->ran(), Ran::Yes) << start;
        EXPECT_FALSE(sink.hasEnded) << start;
        while (!server.isClosedByClient())
            context_.run_one();
        EXPECT_FALSE(server.isExhausted()) << start;
    }
}

// Guards against a server that sends no answers being taken for one whose connection was cut, and the other way round.
TEST_F(BackendClientTest, TellsSpoiledAnswersFromCutOnes)
{
    const std::string chunked = "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n";
    const std::vector<std::pair<std::string, bool>> answers {
        { "no answer\r\n\r\n", true },
        { "HTTP/1.1 200 OK\r\nX-Filling: " + std::string(200'000, 'a'), true },
        { chunked + "no chunk\r\n", true },
        { "HTTP/1.1 200 OK\r\nContent-Length: 5\r\n\r\nabc", false },
        { chunked + "5\r\nabc", false },
        { "HTTP/1.1 200 OK\r\n", false },
    };
    for (const auto& [answer, isSpoiled] : answers) {
        ScriptedServer server(context_, { answer }, ScriptedServer::AfterAnswers::Close);
        RecordingSink sink;
        ASSERT_TRUE(send(server, sink)) << answer.substr(0, 100);
        EXPECT_EQ(isSpoiled_, isSpoiled) << answer.substr(0, 100);
    }
}

// Guards against a caller who gets an interim answer in place of the answer.
TEST_F(BackendClientTest, SkipsABoundedNumberOfInterimAnswers)
{
    const std::string interim = "HTTP/1.1 103 Early Hints\r\n\r\n";
    ScriptedServer server(context_, { interim + interim + completeAnswer });
    RecordingSink sink;
    EXPECT_FALSE(send(server, sink));
    EXPECT_EQ(sink.head.status, 200U);
    EXPECT_EQ(sink.body, "ok");
    EndlessServer endless(context_, interim, interim);
    RecordingSink none;
    const auto failure = send(endless, none);
    ASSERT_TRUE(failure);
    EXPECT_EQ(failure->ran(), Ran::Unknown);
    EXPECT_FALSE(none.hasEnded);
    while (!endless.isClosedByClient())
        context_.run_one();
    EXPECT_FALSE(endless.isExhausted());
}

// Guards against a part of an answer that passes for the whole one: the write of the request reports the reset of the connection, after
// which the connection looks as if its end had been announced.
TEST_F(BackendClientTest, AnAnswerWithoutLengthWhoseConnectionIsResetIsCut)
{
    using Then = EarlyAnswerServer::Then;
    const std::vector<std::string> answers {
        "HTTP/1.1 200 OK\r\n\r\npart",
        "HTTP/1.1 200 OK\r\nContent-Type: text/event-stream\r\n\r\ndata: [DONE]\n\n",
        "HTTP/1.0 200 OK\r\n\r\n",
    };
    request_.body = std::string(EarlyAnswerServer::largeBody, 'p');
    for (const auto then : { Then::Reset, Then::EndAndReset, Then::ReadAndReset }) {
        for (const auto& answer : answers) {
            EarlyAnswerServer server(context_, answer, then);
            RecordingSink sink;
            const auto failure = send(server, sink);
            EXPECT_FALSE(sink.hasEnded) << static_cast<int>(then) << answer;
            EXPECT_TRUE(failure) << static_cast<int>(then) << answer;
            if (!failure)
                continue;
            EXPECT_EQ(failure->code(), ResultCode::AnswerCut) << failure->what();
            EXPECT_EQ(failure->ran(), Ran::Yes) << failure->what();
        }
    }
}

TEST_F(BackendClientTest, AnAnswerWithoutLengthWhoseConnectionIsResetAfterAShortUploadIsCut)
{
    request_.body = "short";
    EarlyAnswerServer server(context_, "HTTP/1.1 200 OK\r\n\r\npart", EarlyAnswerServer::Then::Reset);
    RecordingSink sink;
    const auto failure = send(server, sink);
    EXPECT_FALSE(sink.hasEnded);
    ASSERT_TRUE(failure);
    EXPECT_EQ(failure->code(), ResultCode::AnswerCut) << failure->what();
}

// Guards against a server's reason for refusing a long request that is lost since the rest of the request can't be written.
TEST_F(BackendClientTest, AnAnswerThatSaysWhereItEndsIsWholeThoughItsRequestWasCut)
{
    const std::vector<std::string> bodies {
        "Content-Length: 2\r\n\r\nok",
        "Transfer-Encoding: chunked\r\n\r\n2\r\nok\r\n0\r\n\r\n",
    };
    request_.body = std::string(EarlyAnswerServer::largeBody, 'p');
    for (const auto& body : bodies) {
        EarlyAnswerServer server(context_, "HTTP/1.1 413 Payload Too Large\r\n" + body, EarlyAnswerServer::Then::Reset);
        for (const std::size_t connections : { 1U, 2U }) {
            RecordingSink sink;
            EXPECT_FALSE(send(server, sink)) << body;
            EXPECT_TRUE(sink.hasEnded) << body;
            EXPECT_EQ(sink.head.status, 413U) << body;
            EXPECT_EQ(sink.body, "ok") << body;
            // The connection of the cut request is not used again.
            EXPECT_EQ(server.connections(), connections) << body;
        }
    }
    EXPECT_EQ(closedEarly_, 0U);
}

// Guards against refusing sound answers of servers that answer before they have read the whole request.
TEST_F(BackendClientTest, AnEarlyAnswerIsWholeIfTheRequestIsReadToItsEnd)
{
    using Then = EarlyAnswerServer::Then;
    request_.body = std::string(EarlyAnswerServer::largeBody, 'p');
    EarlyAnswerServer closing(context_, "HTTP/1.1 200 OK\r\n\r\nok", Then::ReadAndClose);
    RecordingSink whole;
    EXPECT_FALSE(send(closing, whole));
    EXPECT_TRUE(whole.hasEnded);
    EXPECT_EQ(whole.body, "ok");
    EarlyAnswerServer readingOn(context_, completeAnswer, Then::ReadOn);
    for (int count = 0; count < 2; ++count) {
        RecordingSink sink;
        EXPECT_FALSE(send(readingOn, sink));
        EXPECT_EQ(sink.body, "ok");
    }
    EXPECT_EQ(readingOn.requests(), 2U);
    EXPECT_EQ(readingOn.connections(), 1U);
}

// Guards against a caller who gets bytes that are no answer of the protocol as one.
TEST_F(BackendClientTest, AnAnswerWithAnInvalidStatusIsInvalid)
{
    for (const auto* status : { "000", "001", "099", "600", "700", "999", "20", "2000", "-20", "+20", "2x0", "" }) {
        ScriptedServer server(context_, { fmt::format("HTTP/1.1 {} OK\r\nContent-Length: 2\r\n\r\nok", status) + completeAnswer });
        RecordingSink sink;
        const auto failure = send(server, sink);
        ASSERT_TRUE(failure) << status;
        EXPECT_EQ(failure->ran(), Ran::Unknown) << status;
        EXPECT_TRUE(isSpoiled_) << status << failure->what();
        EXPECT_EQ(sink.head.status, AnswerHead().status) << status;
        EXPECT_FALSE(sink.hasEnded) << status;
        while (server.closedByClient() == 0)
            context_.run_one();
    }
}

// Guards against an answer whose end is guessed: its body may be cut or coded, and the rest of it passes for the next answer.
TEST_F(BackendClientTest, AnAnswerWhoseEndIsNotKnownIsInvalid)
{
    const std::vector<std::string> heads {
        "HTTP/1.1 200 OK\r\nTransfer-Encoding: gzip\r\n",
        "HTTP/1.1 200 OK\r\nTransfer-Encoding: gzip\r\nContent-Length: 2\r\n",
        "HTTP/1.1 200 OK\r\nTransfer-Encoding: gzip, chunked\r\n",
        "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked, gzip\r\n",
        "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked;q=1\r\n",
        "HTTP/1.1 200 OK\r\nTransfer-Encoding:\r\n",
        "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\nContent-Length: 2\r\n",
        "HTTP/1.0 200 OK\r\nConnection: keep-alive\r\nTransfer-Encoding: chunked\r\n",
    };
    for (const auto& head : heads) {
        for (const auto* body : { "ok", "2\r\nok\r\n0\r\n\r\n" }) {
            ScriptedServer server(context_, { head + "\r\n" + body, completeAnswer }, ScriptedServer::AfterAnswers::CloseAfterLast);
            RecordingSink sink;
            const auto failure = send(server, sink);
            ASSERT_TRUE(failure) << head;
            EXPECT_EQ(failure->ran(), Ran::Unknown) << head;
            EXPECT_TRUE(isSpoiled_) << head;
            EXPECT_EQ(sink.body, "") << head;
            RecordingSink next;
            EXPECT_FALSE(send(server, next)) << head;
            EXPECT_EQ(next.body, "ok") << head;
            EXPECT_EQ(server.connections(), 2U) << head;
        }
    }
}

// Guards against the body of an answer that may have none, which arrives later and passes for the next answer.
TEST_F(BackendClientTest, AConnectionOnWhichABodyMayStillArriveIsNotReused)
{
    for (const auto* status : { "204 No Content", "304 Not Modified" }) {
        for (const auto* fields : { "Content-Length: 38\r\n", "Transfer-Encoding: chunked\r\n", "" }) {
            const auto announcing = fmt::format("HTTP/1.1 {}\r\nKeep-Alive: timeout=30\r\n{}\r\n", status, fields);
            ScriptedServer server(context_, { announcing, completeAnswer });
            RecordingSink first;
            ASSERT_FALSE(send(server, first)) << announcing;
            RecordingSink second;
            ASSERT_FALSE(send(server, second)) << announcing;
            EXPECT_EQ(second.body, "ok") << announcing;
            EXPECT_EQ(server.connections(), *fields == '\0' ? 1U : 2U) << announcing;
        }
    }
}

} // namespace Ibisturn
