#include <LibKernel/Asio.h>

#include <Tests/Support/Cases.h>
#include <Tests/Support/EchoServer.h>
#include <Tests/Support/RoutedInstance.h>

#include <algorithm>
#include <cerrno>
#include <sys/socket.h>
#include <thread>

#include <boost/beast/core.hpp>
#include <boost/beast/http.hpp>

#include <gtest/gtest.h>

namespace Ibisturn::Testing {

namespace {

using namespace std::chrono_literals;
namespace Http = boost::beast::http;
using Tcp = Asio::ip::tcp;

Settings settingsOfSmallInstance()
{
    Settings settings = settingsIn("khomas");
    settings.fleet.emplace();
    settings.fleet->processMemory = ByteCount(80'000'000);
    settings.fleet->processDescriptors = 128;
    return settings;
}

/// Uses up the memory of a budget until it is released. Thread safety: one thread at a time.
class MemoryShortage {
public:
    explicit MemoryShortage(const MemoryBudget& budget)
        : budget_(budget)
    {
    }

    void begin()
    {
        // Small reservations may use the whole capacity.
        for (const auto size : { MemoryBudget::smallReservation, ByteCount(1024), ByteCount(1) }) {
            for (auto held = budget_.reserve(size); held; held = budget_.reserve(size))
                held_.push_back(std::move(*held));
        }
    }

    void end() { held_.clear(); }

private:
    const MemoryBudget& budget_;
    std::vector<MemoryBudget::Reservation> held_;
};

struct SentRequest {
    std::string target;
    std::string body;
    std::string bytes;
};

struct ReceivedAnswer {
    std::string id;
    unsigned status { 0 };
    std::string body;
    bool isLast { false };
};

/// Sends parts on one connection and reads the answers. Thread safety: one thread may send while another one receives.
class PipeliningCaller {
public:
    explicit PipeliningCaller(const Tcp::endpoint& endpoint)
    {
        stream_.connect(endpoint);
        stream_.socket().set_option(Tcp::no_delay(true));
    }

    /// Sends all of `part`, unless the connection ends.
    void send(std::string_view part)
    {
        while (!part.empty()) {
            const auto size = ::send(stream_.socket().native_handle(), part.data(), part.size(), MSG_NOSIGNAL);
            if (size < 0 && errno != EAGAIN)
                return;
            part.remove_prefix(size < 0 ? 0 : static_cast<std::size_t>(size));
            if (size < 0)
                std::this_thread::sleep_for(1ms);
        }
    }

    /// The next answer; empty if the connection ended.
    std::optional<ReceivedAnswer> receive()
    {
        Http::response_parser<Http::string_body> parser;
        boost::system::error_code error;
        stream_.expires_after(20s);
        Http::async_read(stream_, buffer_, parser, [&error](const boost::system::error_code& result, std::size_t /*size*/) { error = result; });
        context_.restart();
        context_.run();
        EXPECT_NE(error, boost::beast::error::timeout);
        if (error)
            return std::nullopt;
        const auto& answer = parser.get();
        return ReceivedAnswer { std::string(answer["X-Ibisturn-Request-Id"]), answer.result_int(), answer.body(), !parser.keep_alive() };
    }

private:
    Asio::io_context context_ { 1 };
    boost::beast::tcp_stream stream_ { context_ };
    boost::beast::flat_buffer buffer_;
};

/// A request whose id is its target. `fields` may be empty.
SentRequest makeRequest(const std::string& target, const std::string& body, const std::string& fields = {}, bool isChunked = false)
{
    const auto framing = isChunked ? std::string("Transfer-Encoding: chunked\r\n") : body.empty() ? std::string()
                                                                                                  : fmt::format("Content-Length: {}\r\n", body.size());
    const auto head = fmt::format("POST {} HTTP/1.1\r\nHost: {}\r\nX-Ibisturn-Request-Id: {}\r\nX-Ibisturn-Deadline-Ms: 20000\r\n{}{}\r\n", target, RoutedInstance::host, target, fields, framing);
    return { target, body, head + (isChunked ? fmt::format("{:x}\r\n{}\r\n0\r\nTrailer: a\r\n\r\n", body.size(), body) : body) };
}

SentRequest randomRequest(Random& random, std::size_t number)
{
    const auto target = fmt::format("/book/{}-{}", random(), number);
    // A request that ends with a head of one read can be refused without an end of the connection.
    if (randomBelow(random, 3) > 0)
        return makeRequest(target, {});
    // Some heads need more than the first read, and some fields more than is reserved at first.
    std::string fields;
    for (auto count = randomBelow(random, 4) == 0 ? randomBelow(random, 200) : 0; count > 0; --count)
        fields += fmt::format("X-{}: {}\r\n", count, std::string(randomBelow(random, 60), 'f'));
    const bool isChunked = randomBelow(random, 3) == 0;
    const auto size = randomBelow(random, 2) == 0 ? 0 : 1 + randomBelow(random, 20'000);
    return makeRequest(target, isChunked && size == 0 ? std::string() : std::string(size, 'b'), fields, isChunked && size > 0);
}

bool hasRun(const EchoServer& server, const std::string& target)
{
    const auto targets = server.targets();
    return std::find(targets.begin(), targets.end(), target) != targets.end();
}

/// Checks that the answers that arrive belong to the first of `sent`, in their order and one to each, and returns them.
std::vector<ReceivedAnswer> expectOwnAnswers(PipeliningCaller& caller, const std::vector<SentRequest>& sent)
{
    std::vector<ReceivedAnswer> answers;
    while (answers.size() < sent.size()) {
        const auto answer = caller.receive();
        if (!answer)
            break;
        const auto& request = sent[answers.size()];
        answers.push_back(*answer);
        // A request whose head was not read has no known id; the connection ends with its refusal.
        if (!answer->id.empty() || !answer->isLast) {
            EXPECT_EQ(answer->id, request.target);
        }
        if (answer->status == 200) {
            EXPECT_EQ(answer->body, request.target + " " + request.body);
        }
        if (answer->isLast)
            break;
    }
    return answers;
}

} // namespace

// Guards against a refused request that stays in the buffer: it was served again over the same connection, and its answers were taken for
// those of the next requests.
TEST(RefusedRequest, IsNotServedAgainOnceThereIsMemory)
{
    EchoServer server;
    RoutedInstance instance(settingsOfSmallInstance(), server.endpoint());
    MemoryShortage shortage(instance.tables().connectionMemory);
    PipeliningCaller caller(instance.callers());
    const auto refused = makeRequest("/book/refused", {});
    const auto next = makeRequest("/book/next", {});
    shortage.begin();
    caller.send(refused.bytes);
    const auto refusal = caller.receive();
    ASSERT_TRUE(refusal);
    EXPECT_EQ(refusal->status, 503U);
    EXPECT_EQ(refusal->id, refused.target);
    shortage.end();
    if (!refusal->isLast) {
        caller.send(next.bytes);
        const auto answer = caller.receive();
        ASSERT_TRUE(answer);
        EXPECT_EQ(answer->id, next.target);
        EXPECT_EQ(answer->status, 200U);
    }
    EXPECT_FALSE(hasRun(server, refused.target));
}

// The same for each place at which a request can be refused: its head, its fields, its body, a pipelined request and a drain.
TEST(RefusedRequest, EachRequestHasOneAnswerAndNoRefusedOneRuns)
{
    constexpr std::uint64_t cases = 150;
    std::size_t refusals = 0;
    std::size_t successesAfterRefusal = 0;
    EchoServer server;
    forEachCase([&](Random& random) {
        RoutedInstance instance(settingsOfSmallInstance(), server.endpoint());
        MemoryShortage ofConnections(instance.tables().connectionMemory);
        MemoryShortage ofRequests(instance.tables().requestMemory);
        PipeliningCaller caller(instance.callers());
        std::vector<SentRequest> sent;
        std::string bytes;
        std::vector<std::size_t> ends;
        for (auto count = 2 + randomBelow(random, 12); count > 0; --count) {
            sent.push_back(randomRequest(random, count));
            bytes += sent.back().bytes;
            ends.push_back(bytes.size());
        }
        std::thread sender([&, seed = random()] {
            Random moments(seed);
            for (std::size_t begin = 0; begin < bytes.size();) {
                const auto nextEnd = *std::upper_bound(ends.begin(), ends.end(), begin);
                const auto size = randomBelow(moments, 2) == 0 ? nextEnd - begin : 1 + randomBelow(moments, randomBelow(moments, 3) > 0 ? 400 : 6000);
                for (auto* shortage : { &ofConnections, &ofRequests }) {
                    shortage->end();
                    if (randomBelow(moments, 3) == 0)
                        shortage->begin();
                }
                if (randomBelow(moments, 60) == 0)
                    instance.tables().isDraining = true;
                if (instance.tables().isDraining && randomBelow(moments, 4) == 0)
                    instance.tables().isRefusing = true;
                caller.send(std::string_view(bytes).substr(begin, size));
                begin += size;
                if (randomBelow(moments, 2) == 0)
                    std::this_thread::sleep_for(std::chrono::microseconds(randomBelow(moments, 1500)));
            }
            ofConnections.end();
            ofRequests.end();
        });
        const auto answers = expectOwnAnswers(caller, sent);
        sender.join();
        const bool isEnded = answers.size() < sent.size() || answers.back().isLast;
        if (isEnded) {
            EXPECT_FALSE(caller.receive());
        }
        for (std::size_t index = 0; index < answers.size(); ++index) {
            const bool isRefusal = answers[index].status != 200;
            refusals += isRefusal ? 1 : 0;
            successesAfterRefusal += !isRefusal && index > 0 && answers[index - 1].status != 200 ? 1 : 0;
            if (isRefusal) {
                EXPECT_FALSE(hasRun(server, sent[index].target)) << answers[index].status;
            }
        }
        // A connection that ended on a refusal must not have served what was sent behind it.
        for (auto index = answers.size(); index < sent.size(); ++index)
            EXPECT_FALSE(hasRun(server, sent[index].target)) << index;
    },
        cases);
    fmt::print("refusals={} successes_after_refusals={}\n", refusals, successesAfterRefusal);
    EXPECT_GT(refusals, 0U);
    EXPECT_GT(successesAfterRefusal, 0U);
}

} // namespace Ibisturn::Testing
