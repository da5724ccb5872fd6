#include <LibKernel/HttpLimits.h>
#include <Tests/Support/LoopbackEngine.h>
#include <Tests/Support/LoopbackInstance.h>
#include <Tests/Support/LoopbackRecords.h>

#include <gtest/gtest.h>

#include <boost/beast/core.hpp>
#include <boost/beast/http.hpp>

namespace Ibisturn {

namespace {

namespace Http = boost::beast::http;
using Tcp = Asio::ip::tcp;

constexpr std::size_t eventCount = 4000;
constexpr std::size_t eventBytes = 16UL * 1024;
/// Upper bound for the socket buffers of two connections; far less than the size of the stream.
constexpr std::size_t maxBuffered = 32UL * 1024 * 1024;
constexpr int fastStreams = 3;

/// A caller that requests a stream and reads it only on demand.
class StreamCaller {
public:
    StreamCaller(Asio::io_context& context, const Endpoint& endpoint)
        : socket_(context)
    {
        socket_.connect({ Asio::ip::make_address(endpoint.address), endpoint.port });
        const std::string body = R"({"model":"here","stream":true})";
        const auto head = fmt::format("POST /v1/chat/completions HTTP/1.1\r\nHost: a\r\nAuthorization: Bearer {}\r\nContent-Length: {}\r\n\r\n", Testing::callerKey, body.size());
        Asio::write(socket_, Asio::buffer(head + body));
    }

    /// Waits for the first byte.
    void awaitAnswer()
    {
        socket_.wait(Tcp::socket::wait_read);
    }

    std::string readAll()
    {
        boost::beast::flat_buffer buffer;
        Http::response_parser<Http::string_body> parser;
        parser.body_limit(unlimitedBody);
        Http::read(socket_, buffer, parser);
        return std::move(parser.get().body());
    }

private:
    Tcp::socket socket_;
};

} // namespace

TEST(SlowReader, StallsOnlyItsOwnStreamAndBuffersWithinBounds)
{
    Asio::io_context context;
    Testing::LoopbackEngine slowEngine(eventCount, eventBytes);
    Testing::LoopbackEngine fastEngine(eventCount, eventBytes);
    Testing::LoopbackInstance instance(Testing::settingsIn("khomas"));
    instance.tables().configuration.set(Testing::snapshotOf(Testing::recordsFor(slowEngine.endpoint(), "khomas")));
    StreamCaller slow(context, instance.member().callers);
    slow.awaitAnswer();
    instance.tables().configuration.set(Testing::snapshotOf(Testing::recordsFor(fastEngine.endpoint(), "khomas")));

    const auto expected = fastEngine.completeStream() + "data: [DONE]\n\n";
    for (int round = 0; round < fastStreams; ++round) {
        StreamCaller fast(context, instance.member().callers);
        EXPECT_EQ(fast.readAll().size(), expected.size());
    }
    EXPECT_LT(slowEngine.bytesSent(), maxBuffered);
    // When the slow caller continues to read, it still receives the complete answer.
    EXPECT_TRUE(slow.readAll() == expected);
}

} // namespace Ibisturn
