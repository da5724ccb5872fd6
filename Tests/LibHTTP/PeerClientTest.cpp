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
        member.region = RegionId("region");
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

/// An address that passes from one instance to another: answers each request, on any number of connections. A connection is served by
/// the instance that has the address when it is opened.
class ReassignedAddress {
public:
    explicit ReassignedAddress(Asio::io_context& context)
        : acceptor_(context, Asio::ip::tcp::endpoint(Asio::ip::address_v4::loopback(), 0))
    {
        Asio::co_spawn(context, accept(), Asio::detached);
    }

    /// The instance `id` in `region` at this address.
    Member member(const std::string& id, const std::string& region = "region") const
    {
        Member member;
        member.id = InstanceId(id);
        member.region = RegionId(region);
        member.peers = { "127.0.0.1", acceptor_.local_endpoint().port() };
        return member;
    }

    void assignTo(HelloMessage owner) { owner_ = std::move(owner); }

    /// How many requests have reached the instance `id`.
    std::size_t requestsAt(const std::string& id) const
    {
        const auto found = requests_.find(id);
        return found == requests_.end() ? 0 : found->second;
    }

    std::size_t connections() const { return connections_; }

private:
    Task<void> accept()
    {
        for (;;) {
            auto socket = co_await acceptor_.async_accept(Asio::use_awaitable);
            Asio::co_spawn(acceptor_.get_executor(), serve(std::move(socket), owner_), Asio::detached);
        }
    }

    Task<void> serve(Asio::ip::tcp::socket socket, HelloMessage owner)
    {
        ++connections_;
        PeerConnection connection(boost::beast::tcp_stream(std::move(socket)), ByteCount(frameLimit));
        const std::string id = owner.instance;
        try {
            co_await connection.handshake(std::move(owner), timeout);
            for (;;) {
                const Frame frame = co_await connection.read(timeout);
                ++requests_[id];
                PeerMessage head = answerHead(0);
                PeerMessage end = AnswerEndMessage {};
                co_await connection.write(frame.request, std::move(head), timeout);
                co_await connection.write(frame.request, std::move(end), timeout);
            }
        } catch (const boost::system::system_error&) {
            co_return;
        }
    }

    Asio::ip::tcp::acceptor acceptor_;
    HelloMessage owner_ { "peer", "region", "data-centre", 0 };
    std::map<std::string, std::size_t> requests_;
    std::size_t connections_ { 0 };
};

class PeerClientTest : public testing::Test {
protected:
    /// Forwards one request to a peer that answers with `frames`, expects an error that leaves it open whether the request ran, and
    /// that the client closes the connection.
    void expectCut(std::vector<ScriptedFrame> frames, RecordingSink& sink)
    {
        Asio::io_context context(1);
        EndlessPeer peer(context, std::move(frames));
        PeerClient client = makeClient();
        const GatewayRequest request = makeRequest();
        std::optional<Error> failure;
        Asio::co_spawn(context, run(client, peer.member(), request, sink, failure), Asio::detached);
        while (!peer.hasEnded())
            context.run_one();
        ASSERT_TRUE(failure);
        EXPECT_EQ(failure->ran(), Ran::Unknown) << failure->what();
        EXPECT_TRUE(peer.isClosedByClient());
        EXPECT_FALSE(sink.hasEnded);
    }

    static PeerClient makeClient() { return { { "self", "region", "data-centre", 0 }, { timeout, timeout, ByteCount(frameLimit) } }; }

    static GatewayRequest makeRequest()
    {
        GatewayRequest request;
        request.cancellation = std::make_shared<Cancellation>();
        request.deadline = SteadyClock().now() + 10s;
        return request;
    }

    static void complete(Asio::io_context& context, Task<void> task)
    {
        auto done = Asio::co_spawn(context, std::move(task), Asio::use_future);
        while (done.wait_for(0s) != std::future_status::ready)
            context.run_one();
        done.get();
    }

    /// Forwards a request to `peer` and returns why it failed; unset if it was answered.
    static std::optional<Error> forward(Asio::io_context& context, PeerClient& client, Member peer)
    {
        const GatewayRequest request = makeRequest();
        RecordingSink sink;
        std::optional<Error> failure;
        complete(context, run(client, std::move(peer), request, sink, failure));
        EXPECT_EQ(sink.hasEnded, !failure);
        return failure;
    }

    static void expectNotRun(const std::optional<Error>& failure)
    {
        ASSERT_TRUE(failure);
        EXPECT_EQ(failure->code(), ResultCode::PeerUnreachable) << failure->what();
        EXPECT_EQ(failure->ran(), Ran::No) << failure->what();
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

// Guards against a body that reaches an instance, and its region, that nobody has chosen, because the address of the chosen one has passed on.
TEST_F(PeerClientTest, RequestForAnInstanceWhoseAddressAnotherOneHasIsNotSent)
{
    Asio::io_context context(1);
    ReassignedAddress address(context);
    address.assignTo({ "other", "other-region", "data-centre", 0 });
    PeerClient client = makeClient();
    expectNotRun(forward(context, client, address.member("peer")));
    complete(context, client.keepWarm(address.member("peer"), 1));
    expectNotRun(forward(context, client, address.member("peer")));
    EXPECT_EQ(address.requestsAt("other"), 0U);
    EXPECT_FALSE(forward(context, client, address.member("other", "other-region")));
    EXPECT_EQ(address.requestsAt("other"), 1U);
}

// Guards against a body that reaches another region than the one for which it was permitted.
TEST_F(PeerClientTest, RequestForAnInstanceThatNamesAnotherRegionIsNotSent)
{
    Asio::io_context context(1);
    ReassignedAddress address(context);
    address.assignTo({ "peer", "other-region", "data-centre", 0 });
    PeerClient client = makeClient();
    expectNotRun(forward(context, client, address.member("peer")));
    EXPECT_EQ(address.requestsAt("peer"), 0U);
    address.assignTo({ "peer", "", "", 0 });
    EXPECT_FALSE(forward(context, client, address.member("peer")));
    EXPECT_EQ(address.requestsAt("peer"), 1U);
}

// Guards against a request that is sent on an idle connection to the instance that had the address before, in whatever region.
TEST_F(PeerClientTest, IdleConnectionIsUsedForItsInstanceOnly)
{
    Asio::io_context context(1);
    ReassignedAddress address(context);
    PeerClient client = makeClient();
    EXPECT_FALSE(forward(context, client, address.member("peer")));
    EXPECT_FALSE(forward(context, client, address.member("peer")));
    EXPECT_EQ(address.connections(), 1U);
    address.assignTo({ "successor", "other-region", "data-centre", 0 });
    EXPECT_FALSE(forward(context, client, address.member("successor", "other-region")));
    EXPECT_EQ(address.requestsAt("peer"), 2U);
    EXPECT_EQ(address.requestsAt("successor"), 1U);
    EXPECT_EQ(address.connections(), 2U);
    address.assignTo({ "third", "region", "data-centre", 0 });
    complete(context, client.keepWarm(address.member("third"), 1));
    EXPECT_EQ(address.connections(), 3U);
    EXPECT_FALSE(forward(context, client, address.member("third")));
    EXPECT_EQ(address.requestsAt("third"), 1U);
    EXPECT_EQ(address.connections(), 3U);
}

// Guards against a caller who gets a head from another instance that is none of an answer.
TEST_F(PeerClientTest, HeadWithAnInvalidStatusEndsTheConnection)
{
    for (const std::uint32_t status : { 0U, 99U, 100U, 199U, 600U, 999U, 65'736U }) {
        RecordingSink sink;
        expectCut({ { FrameOf::Request, AnswerHeadMessage { status, "text/plain", false, {}, -1 } }, { FrameOf::Request, AnswerEndMessage {} } }, sink);
        EXPECT_EQ(sink.head.status, AnswerHead().status) << status;
    }
}

} // namespace Ibisturn
