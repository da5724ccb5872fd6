#include <LibCore/SteadyClock.h>
#include <Tests/Support/EarlyAnswerServer.h>
#include <Tests/Support/LoopbackInstance.h>
#include <Tests/Support/LoopbackRecords.h>
#include <Tests/Support/LoopbackThread.h>
#include <Tests/Support/ScriptedServer.h>

#include <memory>
#include <string>

#include <gtest/gtest.h>

namespace Ibisturn::Testing {

namespace {

using namespace std::chrono_literals;
using Tcp = Asio::ip::tcp;

/// Sends requests to an instance that forwards them to the instance in the region of the only backend server.
class ForwardedAnswerTest : public testing::Test {
protected:
    ForwardedAnswerTest()
        : origin_(settingsIn("khomas"))
        , receiver_(settingsIn("erongo"))
    {
        auto membership = std::make_shared<MembershipView>();
        membership->instances = { receiver_.member(), origin_.member() };
        origin_.tables().membership.set(membership);
        receiver_.tables().membership.set(membership);
    }

    /// Configures both instances with a backend server at `endpoint` in the region of the receiver.
    void setServer(const Endpoint& endpoint)
    {
        const auto snapshot = snapshotOf(recordsFor(endpoint, "erongo"));
        receiver_.tables().configuration.set(snapshot);
        origin_.tables().configuration.set(snapshot);
    }

    /// Everything that a caller of the origin receives for a request with a body of `bodySize` bytes.
    std::string exchange(std::size_t bodySize)
    {
        const std::string start = R"({"model":"here","messages":[],"filling":")";
        const std::string body = start + std::string(bodySize - start.size() - 2, 'p') + "\"}";
        Asio::io_context context;
        Tcp::socket socket(context);
        socket.connect({ Asio::ip::make_address(origin_.member().callers.address), origin_.member().callers.port });
        const auto head = fmt::format(
            "POST /v1/chat/completions HTTP/1.1\r\nHost: a\r\nAuthorization: Bearer {}\r\nConnection: close\r\nContent-Length: {}\r\n\r\n", callerKey, body.size());
        Asio::write(socket, Asio::buffer(head + body));
        std::string received;
        boost::system::error_code error;
        Asio::read(socket, Asio::dynamic_buffer(received), error);
        return received;
    }

    LoopbackThread serverThread_;
    LoopbackInstance origin_;
    LoopbackInstance receiver_;
};

/// With the status of the answer.
class ForwardedStatusTest : public ForwardedAnswerTest, public testing::WithParamInterface<const char*> {
};

} // namespace

// Guards against a part of an answer that passes for the whole one behind another instance.
TEST_F(ForwardedAnswerTest, AnAnswerWithoutLengthWhoseServerIsResetDuringTheUploadIsNotWhole)
{
    EarlyAnswerServer server(serverThread_.context(), "HTTP/1.1 200 OK\r\n\r\npart", EarlyAnswerServer::Then::Reset);
    setServer(server.endpoint());
    serverThread_.start();
    const auto answer = exchange(EarlyAnswerServer::largeBody);
    serverThread_.stop();
    EXPECT_FALSE(answer.empty());
    EXPECT_FALSE(answer.ends_with("0\r\n\r\n")) << answer;
    EXPECT_GE(server.requests(), 1U);
}

// Guards against refusing what a server answers before it has read the whole request.
TEST_F(ForwardedAnswerTest, AnAnswerThatSaysWhereItEndsIsWholeThoughItsRequestWasCut)
{
    EarlyAnswerServer server(serverThread_.context(), "HTTP/1.1 413 Payload Too Large\r\nContent-Length: 2\r\n\r\nok", EarlyAnswerServer::Then::Reset);
    setServer(server.endpoint());
    serverThread_.start();
    const auto answer = exchange(EarlyAnswerServer::largeBody);
    serverThread_.stop();
    EXPECT_TRUE(answer.starts_with("HTTP/1.1 413")) << answer;
    EXPECT_TRUE(answer.ends_with("\r\n\r\nok")) << answer;
}

// Guards against a caller who gets bytes that are no answer of the protocol as one behind another instance.
TEST_P(ForwardedStatusTest, AnAnswerWithAnInvalidStatusIsNotRelayed)
{
    const auto text = fmt::format("HTTP/1.1 {} Trouble\r\nContent-Length: 2\r\n\r\nok", GetParam());
    ScriptedServer server(serverThread_.context(), { text, text, text });
    setServer(server.endpoint());
    serverThread_.start();
    const auto startedAt = SteadyClock().now();
    const auto answer = exchange(100);
    EXPECT_LT(SteadyClock().now() - startedAt, 10s) << "the request waits for another answer";
    serverThread_.stop();
    // The route permits a retry, for which there is no other server.
    EXPECT_TRUE(answer.starts_with("HTTP/1.1 503")) << answer;
    EXPECT_NE(answer.find("\"ran\":\"unknown\""), std::string::npos) << answer;
    EXPECT_EQ(server.requests(), 1U);
}

INSTANTIATE_TEST_SUITE_P(Statuses, ForwardedStatusTest, testing::Values("000", "099", "600", "999"));

} // namespace Ibisturn::Testing
