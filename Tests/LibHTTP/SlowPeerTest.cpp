#include <LibPeer/ControlMessages.h>
#include <LibPeer/Hello.h>
#include <Tests/Support/LoopbackInstance.h>

#include <thread>

#include <gtest/gtest.h>
#include <netinet/tcp.h>

namespace Ibisturn::Testing {

namespace {

using namespace std::chrono_literals;
using Asio::ip::tcp;

/// More than the buffers of a loopback connection take in.
constexpr std::size_t updateBytes = 1024UL * 1024;
/// 64 KiB in 0.6 s.
constexpr std::size_t partBytes = 8UL * 1024;
constexpr Duration partTime = 75ms;
constexpr std::size_t frameLimit = 2048UL * 1024;

using MaxSegmentBytes = Asio::detail::socket_option::integer<IPPROTO_TCP, TCP_MAXSEG>;

StoreUpdate makeLargeUpdate()
{
    StoreUpdate update;
    update.changes.push_back({ "key", std::string(updateBytes, 'v'), Revision(2) });
    update.positions = { Revision(2) };
    update.view = StoreView::Complete;
    return update;
}

/// Peer that reads at most partBytes in partTime, as over a slow link.
class SlowPeer {
public:
    explicit SlowPeer(const Endpoint& endpoint)
        : socket_(context_, tcp::v4())
    {
        // Larger segments and a larger receive buffer would take in most of the update at once.
        socket_.set_option(MaxSegmentBytes(1400));
        socket_.set_option(tcp::socket::receive_buffer_size(64 * 1024));
        socket_.connect({ Asio::ip::make_address(endpoint.address), endpoint.port });
    }

    void send(PeerMessage message)
    {
        const std::string bytes = encodeFrame({ Incarnation(1), RequestId(0), std::move(message) });
        Asio::write(socket_, Asio::buffer(bytes));
    }

    /// Throws boost::system::system_error if the connection is closed.
    PeerMessage receive()
    {
        const std::size_t length = decodeFrameLength(read(frameLengthBytes), frameLimit);
        std::string bytes;
        while (bytes.size() < length) {
            if (!bytes.empty())
                std::this_thread::sleep_for(partTime);
            bytes += read(std::min(partBytes, length - bytes.size()));
        }
        return decodeFrame(bytes).message;
    }

private:
    std::string read(std::size_t length)
    {
        std::string bytes(length, '\0');
        Asio::read(socket_, Asio::buffer(bytes));
        return bytes;
    }

    Asio::io_context context_;
    tcp::socket socket_;
};

} // namespace

// Guards against large answers that all fail, with the connections that carry reports, when many peers share a slow link.
TEST(SlowPeer, ReceivesALargeAnswerWhole)
{
    LoopbackInstance instance(settingsIn("khomas"), { SendStoreUpdate { InstanceId("erongo-1"), makeLargeUpdate() } });
    SlowPeer peer(instance.member().peers);
    peer.send(makeHelloMessage(settingsIn("erongo").identity));
    ASSERT_TRUE(std::holds_alternative<HelloMessage>(peer.receive()));
    StoreUpdate request;
    request.requestAfter = { Revision(1) };
    peer.send(toPeerMessage(SendStoreUpdate { InstanceId("khomas-1"), request }));
    PeerMessage answer;
    ASSERT_NO_THROW(answer = peer.receive());
    const auto* update = std::get_if<StoreUpdateMessage>(&answer);
    ASSERT_TRUE(update);
    EXPECT_EQ(update->changes.at(0).value.size(), updateBytes);
}

} // namespace Ibisturn::Testing
