#include <LibKernel/Asio.h>

#include <LibCore/SteadyClock.h>
#include <LibPeer/ControlLinks.h>
#include <LibPeer/Hello.h>

#include <gtest/gtest.h>

namespace Ibisturn::Testing {

namespace {

using namespace std::chrono_literals;

constexpr Duration timeout = 5s;
constexpr std::size_t replyCount = 1000;

HelloMessage helloOf(const std::string& instance)
{
    return { instance, "region", "data-centre", 0 };
}

/// Replies to each event with many messages, the last of which is marked as leaving.
class TalkativeReceiver final : public ControlReceiver {
public:
    Task<std::vector<PeerAction>> receive(InstanceId from, ControlEvent /*event*/) override
    {
        std::vector<PeerAction> replies(replyCount, SendReport { from, {} });
        std::get<SendReport>(replies.back()).report.state = MemberState::Leaving;
        co_return replies;
    }
};

/// Accepts one connection, sends a status and counts the messages that it receives up to the one marked as leaving.
Task<void> exchangeAsPeer(Asio::ip::tcp::acceptor& acceptor, std::size_t& received)
{
    auto socket = co_await acceptor.async_accept(Asio::use_awaitable);
    PeerConnection connection(boost::beast::tcp_stream(std::move(socket)), ByteCount(1024UL * 1024));
    HelloMessage hello = helloOf("peer");
    co_await connection.handshake(std::move(hello), timeout);
    PeerMessage status = toPeerMessage(SendReport { InstanceId("self"), {} });
    co_await connection.write(RequestId(0), std::move(status), timeout);
    for (;;) {
        const Frame frame = co_await connection.read(timeout);
        ++received;
        const auto* message = std::get_if<InstanceReportMessage>(&frame.message);
        if (message && message->state == static_cast<std::uint8_t>(MemberState::Leaving))
            co_return;
    }
}

} // namespace

TEST(ControlLinks, QueuesABoundedNumberOfReplies)
{
    Asio::io_context context(1);
    Asio::ip::tcp::acceptor acceptor(context, Asio::ip::tcp::endpoint(Asio::ip::address_v4::loopback(), 0));
    TalkativeReceiver receiver;
    ControlLinks links(context, helloOf("self"), { timeout, timeout, timeout }, receiver);
    std::size_t received = 0;
    auto done = Asio::co_spawn(context, exchangeAsPeer(acceptor, received), Asio::use_future);
    Member peer;
    peer.id = InstanceId("peer");
    peer.peers = { "127.0.0.1", acceptor.local_endpoint().port() };
    links.send(peer, toPeerMessage(SendReport { peer.id, {} }));
    while (done.wait_for(0s) != std::future_status::ready)
        context.run_one();
    done.get();
    // The first status, and the replies that fit into the queue.
    EXPECT_LE(received, 1 + ControlLinks::maxQueuedMessages);
}

} // namespace Ibisturn::Testing
