#include <LibKernel/Asio.h>

#include <LibCore/SteadyClock.h>
#include <LibHTTP/Peers/PeerClient.h>
#include <Tests/Support/RecordingSink.h>

#include <gtest/gtest.h>

namespace Ibisturn {

namespace {

using namespace std::chrono_literals;
using Testing::RecordingSink;

constexpr Duration timeout = 2s;
constexpr std::size_t frameLimit = 512UL * 1024;
/// The peer gives up after this many copies of its last frame.
constexpr std::size_t maxRepetitions = 100'000;

/// Names the request that the peer answers, or another one, or says that the frame gets lost.
enum class FrameOf : std::uint8_t {
    Request,
    OtherRequest,
    Nobody,
};

struct ScriptedFrame {
    FrameOf request { FrameOf::Request };
    PeerMessage message;
};

PeerMessage answerHead(std::int64_t contentLength = -1)
{
    return AnswerHeadMessage { 200, "text/plain", false, {}, contentLength };
}

PeerMessage answerPart(std::size_t size)
{
    return AnswerPartMessage { std::string(size, 'a') };
}

/// A faulty peer that answers the first request with `frames`, and repeats the last of them until the connection is closed.
class EndlessPeer {
public:
    EndlessPeer(Asio::io_context& context, std::vector<ScriptedFrame> frames)
        : acceptor_(context, Asio::ip::tcp::endpoint(Asio::ip::address_v4::loopback(), 0))
        , frames_(std::move(frames))
    {
        Asio::co_spawn(context, serve(), Asio::detached);
    }

    Member member() const
    {
        Member member;
        member.id = InstanceId("peer");
        member.peers = { "127.0.0.1", acceptor_.local_endpoint().port() };
        return member;
    }

    bool isClosedByClient() const { return isClosedByClient_; }
    bool hasEnded() const { return hasEnded_; }

private:
    static RequestId idOf(const ScriptedFrame& frame, RequestId request)
    {
        return frame.request == FrameOf::Request ? request : RequestId(request.count() + 1);
    }

    Task<void> serve()
    {
        auto socket = co_await acceptor_.async_accept(Asio::use_awaitable);
        PeerConnection connection(boost::beast::tcp_stream(std::move(socket)), ByteCount(frameLimit));
        try {
            HelloMessage hello { "peer", "region", "data-centre", 0 };
            co_await connection.handshake(std::move(hello), timeout);
            const Frame request = co_await connection.read(timeout);
            for (const auto& frame : frames_) {
                if (frame.request == FrameOf::Nobody) {
                    connection.encode(request.request, frame.message);
                    continue;
                }
                const std::string bytes = connection.encode(idOf(frame, request.request), frame.message);
                co_await connection.writeBytes(bytes, timeout);
            }
            for (std::size_t count = 0; count < maxRepetitions; ++count) {
                const std::string bytes = connection.encode(idOf(frames_.back(), request.request), frames_.back().message);
                co_await connection.writeBytes(bytes, timeout);
            }
        } catch (const boost::system::system_error& error) {
            isClosedByClient_ = error.code() != boost::beast::error::timeout;
        }
        hasEnded_ = true;
    }

    Asio::ip::tcp::acceptor acceptor_;
    std::vector<ScriptedFrame> frames_;
    bool isClosedByClient_ { false };
    bool hasEnded_ { false };
};

class PeerClientTest : public testing::Test {
protected:
    /// Forwards one request to a peer that answers with `frames`, expects an error that leaves it open whether the request ran, and
    /// that the client closes the connection.
    void expectCut(std::vector<ScriptedFrame> frames, RecordingSink& sink)
    {
        Asio::io_context context(1);
        EndlessPeer peer(context, std::move(frames));
        PeerClient client({ "self", "region", "data-centre", 0 }, { timeout, timeout, ByteCount(frameLimit) });
        GatewayRequest request;
        request.cancellation = std::make_shared<Cancellation>();
        request.deadline = SteadyClock().now() + 10s;
        std::optional<Error> failure;
        Asio::co_spawn(context, run(client, peer.member(), request, sink, failure), Asio::detached);
        while (!peer.hasEnded())
            context.run_one();
        ASSERT_TRUE(failure);
        EXPECT_EQ(failure->ran(), Ran::Unknown) << failure->what();
        EXPECT_TRUE(peer.isClosedByClient());
        EXPECT_FALSE(sink.hasEnded);
    }

    static Task<void> run(PeerClient& client, Member peer, const GatewayRequest& request, RecordingSink& sink, std::optional<Error>& failure)
    {
        try {
            ForwardMessage message;
            co_await client.run(peer, std::move(message), request, sink);
        } catch (const Error& error) {
            failure = error;
        }
    }
};

} // namespace

// Guards against a request that is held until its deadline by frames of other requests without end.
TEST_F(PeerClientTest, FramesOfOtherRequestsWithoutEndEndTheConnection)
{
    RecordingSink sink;
    expectCut({ { FrameOf::OtherRequest, answerPart(1) } }, sink);
    EXPECT_TRUE(sink.body.empty());
}

// Guards against an answer that is longer than its head says.
TEST_F(PeerClientTest, PartsBeyondTheAnnouncedLengthEndTheConnection)
{
    RecordingSink sink;
    expectCut({ { FrameOf::Request, answerHead(10) }, { FrameOf::Request, answerPart(4) } }, sink);
    EXPECT_LE(sink.body.size(), 10U);
}

// Guards against a caller who gets the heads of several answers.
TEST_F(PeerClientTest, SecondHeadEndsTheConnection)
{
    RecordingSink sink;
    expectCut({ { FrameOf::Request, answerHead() } }, sink);
}

TEST_F(PeerClientTest, PartOrEndBeforeTheHeadEndsTheConnection)
{
    RecordingSink sink;
    expectCut({ { FrameOf::Request, answerPart(1) } }, sink);
    EXPECT_TRUE(sink.body.empty());
    expectCut({ { FrameOf::Request, AnswerEndMessage {} } }, sink);
}

// Guards against an event stream with a gap: a connection has delivered later frames of an answer without those before them.
TEST_F(PeerClientTest, MissingPartEndsTheConnection)
{
    RecordingSink sink;
    expectCut({ { FrameOf::Request, answerHead() }, { FrameOf::Request, answerPart(1) }, { FrameOf::Nobody, answerPart(2) }, { FrameOf::Request, answerPart(4) } }, sink);
    EXPECT_EQ(sink.body.size(), 1U);
}

TEST_F(PeerClientTest, MissingLastPartEndsTheConnection)
{
    RecordingSink sink;
    expectCut({ { FrameOf::Request, answerHead() }, { FrameOf::Nobody, answerPart(1) }, { FrameOf::Request, AnswerEndMessage {} } }, sink);
    EXPECT_TRUE(sink.body.empty());
}

// Guards against a request that is sent again because the answer to it, which has come, is not readable.
TEST_F(PeerClientTest, FrameOverTheLimitLeavesItOpenWhetherTheRequestRan)
{
    RecordingSink sink;
    expectCut({ { FrameOf::Request, answerHead() }, { FrameOf::Request, answerPart(frameLimit + 1) } }, sink);
    EXPECT_TRUE(sink.body.empty());
}

} // namespace Ibisturn
