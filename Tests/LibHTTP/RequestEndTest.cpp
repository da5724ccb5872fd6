#include <LibKernel/Asio.h>

#include <LibHTTP/Callers/CallerParser.h>
#include <LibHTTP/Operators/BufferedRequests.h>
#include <Tests/Support/Cases.h>
#include <Tests/Support/EchoServer.h>
#include <Tests/Support/LoopbackEngine.h>
#include <Tests/Support/LoopbackInstance.h>
#include <Tests/Support/LoopbackRecords.h>
#include <Tests/Support/RawCaller.h>
#include <Tests/Support/RoutedInstance.h>

#include <atomic>

#include <gtest/gtest.h>

namespace Ibisturn::Testing {

namespace {

using namespace std::chrono_literals;

/// The framing of a request: its version, and the fields that tell its end.
struct Framing {
    std::string version;
    std::string fields;
};

std::vector<Framing> framingsWithoutEnd()
{
    std::vector<Framing> framings;
    for (const auto* coding : { "", ",", "gzip", "identity", "xchunked", "chunked, gzip", "gzip, chunked", "chunked, chunked", "chunked gzip", "chunked;q=1", "\"chunked\"", "chunked;" })
        framings.push_back({ "HTTP/1.1", fmt::format("Transfer-Encoding: {}\r\n", coding) });
    framings.push_back({ "HTTP/1.1", "Transfer-Encoding: gzip\r\nTransfer-Encoding: chunked\r\n" });
    framings.push_back({ "HTTP/1.1", "Transfer-Encoding: chunked\r\nTransfer-Encoding: gzip\r\n" });
    framings.push_back({ "HTTP/1.1", "Transfer-Encoding: x\r\n chunked\r\n" });
    framings.push_back({ "HTTP/1.1", "Transfer-Encoding: gzip\r\nContent-Length: 0\r\n" });
    framings.push_back({ "HTTP/1.1", "Content-Length: 0\r\nTransfer-Encoding: gzip\r\n" });
    framings.push_back({ "HTTP/1.0", "Connection: keep-alive\r\nTransfer-Encoding: chunked\r\n" });
    framings.push_back({ "HTTP/1.0", "Connection: keep-alive\r\nTransfer-Encoding: gzip\r\n" });
    return framings;
}

const std::vector<Framing> framingsWithChunks { { "HTTP/1.1", "Transfer-Encoding: chunked\r\n" }, { "HTTP/1.1", "transfer-encoding: CHUNKED\r\n" }, { "HTTP/1.1", "Transfer-Encoding: , chunked ,\r\n" } };
const std::string chunkedBody = "2;extension=1\r\nok\r\n0\r\nTrailer: a\r\n\r\n";

/// Sends, for each framing without an end, requests with the text of `hidden` and with chunks behind their heads.
void expectNothingHiddenIsServed(const Endpoint& endpoint, const std::string& target, const std::string& fields, const std::string& hidden)
{
    const std::vector<std::string> texts { hidden, chunkedBody, fmt::format("{}{}", chunkedBody, hidden) };
    for (const auto& framing : framingsWithoutEnd()) {
        for (const auto& behind : texts) {
            const auto head = fmt::format("POST {} {}\r\n{}{}\r\n", target, framing.version, fields, framing.fields);
            const auto received = exchangeRaw(endpoint, { head + behind });
            EXPECT_EQ(received.statuses(), std::vector<int> { 400 }) << head << behind << "\n-> " << received.bytes;
            EXPECT_TRUE(received.isEnded) << head;
        }
    }
}

/// Sends, for each framing with chunks, a request and `next` behind it.
void expectBothAreServed(const Endpoint& endpoint, const std::string& target, const std::string& fields, const std::string& body, const std::string& next)
{
    for (const auto& framing : framingsWithChunks) {
        const auto head = fmt::format("POST {} {}\r\n{}{}\r\n", target, framing.version, fields, framing.fields);
        const auto received = exchangeRaw(endpoint, { fmt::format("{}{}{}", head, body, next) });
        EXPECT_EQ(received.statuses(), (std::vector<int> { 200, 200 })) << head << "\n-> " << received.bytes;
    }
}

} // namespace

// Guards against a request hidden in the body of another one, whose transfer coding the parser did not know and took for no body.
TEST(RequestEnd, ARequestBehindOneWithoutAKnownEndDoesNotRun)
{
    EchoServer server;
    RoutedInstance instance(settingsIn("khomas"), server.endpoint());
    const Endpoint endpoint { "127.0.0.1", instance.callers().port() };
    const auto fields = fmt::format("Host: {}\r\nX-Ibisturn-Request-Id: sent\r\n", RoutedInstance::host);
    const auto hidden = fmt::format("POST /book/hidden HTTP/1.1\r\nHost: {}\r\nX-Ibisturn-Request-Id: hidden\r\nContent-Length: 0\r\n\r\n", RoutedInstance::host);
    expectNothingHiddenIsServed(endpoint, "/book/sent", fields, hidden);
    EXPECT_EQ(server.targets(), std::vector<std::string> {});
    expectBothAreServed(endpoint, "/book/sent", fields, chunkedBody, hidden);
    EXPECT_EQ(server.targets().size(), 2 * framingsWithChunks.size());
}

TEST(RequestEnd, TheSameHoldsForCallersOfTheOpenAiInterface)
{
    LoopbackEngine engine(0, 0);
    LoopbackInstance instance(settingsIn("khomas"));
    instance.tables().configuration.set(snapshotOf(recordsFor(engine.endpoint(), "khomas")));
    const auto fields = fmt::format("Host: a\r\nAuthorization: Bearer {}\r\n", callerKey);
    const std::string body = R"({"model":"here","messages":[]})";
    const std::string target = "/v1/chat/completions";
    const auto hidden = fmt::format("POST {} HTTP/1.1\r\n{}Content-Length: {}\r\n\r\n{}", target, fields, body.size(), body);
    for (const auto& path : { target, std::string("/v1/models") })
        expectNothingHiddenIsServed(instance.member().callers, path, fields, hidden);
    expectBothAreServed(instance.member().callers, target, fields, fmt::format("{:x}\r\n{}\r\n0\r\n\r\n", body.size(), body), hidden);
}

TEST(RequestEnd, TheSameHoldsForOperatorsAndTheDirectory)
{
    std::atomic<int> answered { 0 };
    LoopbackThread thread;
    const auto endpoint = thread.listen([&](Asio::ip::tcp::socket socket) {
        std::function<Task<BufferedReply>(const BufferedRequest&)> answer = [&answered](const BufferedRequest& /*request*/) -> Task<BufferedReply> {
            ++answered;
            co_return BufferedReply();
        };
        Asio::co_spawn(thread.context(), serveBufferedRequests(std::move(socket), { 60s, 8 * 1024, 64 * 1024 }, std::move(answer)), Asio::detached);
    });
    thread.start();
    const std::string hidden = "PUT /hidden HTTP/1.1\r\nHost: a\r\nContent-Length: 0\r\n\r\n";
    expectNothingHiddenIsServed(endpoint, "/sent", "Host: a\r\n", hidden);
    EXPECT_EQ(answered, 0);
    expectBothAreServed(endpoint, "/sent", "Host: a\r\n", chunkedBody, hidden);
    thread.stop();
}

// Whatever the field holds, a request that has it is malformed or ends with its last chunk.
TEST(RequestEnd, NoTextOfATransferCodingMakesARequestEndWithItsHead)
{
    const std::vector<std::string> tokens { "chunked", "gzip", "identity", ",", ";", " ", "\t", "\"", "x", "=", "\r\n ", "\r\nTransfer-Encoding: ", "\r\nContent-Length: 0\r\nX: " };
    std::uint64_t accepted = 0;
    forEachCase([&](Random& random) {
        std::string value;
        for (auto count = randomBelow(random, 4); count > 0; --count)
            value += randomElement(random, tokens);
        if (randomBelow(random, 4) == 0)
            value = mutate(random, value, tokens);
        const auto text = fmt::format("POST / HTTP/1.1\r\nHost: a\r\nTransfer-Encoding: {}\r\n\r\n", value);
        CallerParser parser;
        boost::beast::error_code error;
        parser.put(boost::asio::buffer(text), error);
        if (error)
            return;
        ++accepted;
        EXPECT_TRUE(parser.chunked()) << text;
        EXPECT_FALSE(parser.is_done()) << text;
    });
    EXPECT_GT(accepted, 0U);
}

} // namespace Ibisturn::Testing
