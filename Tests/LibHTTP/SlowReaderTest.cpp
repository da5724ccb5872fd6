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
/// What the system's socket buffers of two connections may hold, and far less than the stream.
constexpr std::size_t mostBuffered = 32UL * 1024 * 1024;
constexpr int quickStreams = 3;

/// A caller that has asked for a stream and reads it when told.
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

TEST(SlowReader, SlowsItsOwnStreamAloneAndBuffersWithinBounds)
{
    Asio::io_context context;
    Testing::LoopbackEngine slowEngine(eventCount, eventBytes);
    Testing::LoopbackEngine quickEngine(eventCount, eventBytes);
    Testing::LoopbackInstance instance(Testing::settingsIn("khomas"));
    instance.tables().configuration.set(Testing::snapshotOf(Testing::recordsFor(slowEngine.endpoint(), "khomas")));
    StreamCaller slow(context, instance.member().callers);
    slow.awaitAnswer();
    instance.tables().configuration.set(Testing::snapshotOf(Testing::recordsFor(quickEngine.endpoint(), "khomas")));

    const auto whole = quickEngine.completeStream() + "data: [DONE]\n\n";
    for (int round = 0; round < quickStreams; ++round) {
        StreamCaller quick(context, instance.member().callers);
        EXPECT_EQ(quick.readAll().size(), whole.size());
    }
    EXPECT_LT(slowEngine.bytesSent(), mostBuffered);
    // The slow caller reads on after all and still gets the whole answer.
    EXPECT_TRUE(slow.readAll() == whole);
}

} // namespace Ibisturn
