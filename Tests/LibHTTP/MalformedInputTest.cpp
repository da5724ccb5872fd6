#include <Tests/Support/Cases.h>
#include <Tests/Support/LoopbackEngine.h>
#include <Tests/Support/LoopbackInstance.h>
#include <Tests/Support/LoopbackRecords.h>

#include <optional>

#include <boost/beast/core.hpp>
#include <boost/beast/http.hpp>
#include <nlohmann/json.hpp>

namespace Ibisturn {

namespace {

namespace Http = boost::beast::http;
using Testing::forEachCase;
using Testing::Random;
using Testing::randomBelow;
using Testing::randomElement;
using Tcp = Asio::ip::tcp;

constexpr std::uint64_t bodyLimit = 8UL * 1024;
constexpr std::uint64_t casesPerValidRequest = 20;
const std::string validBody = R"({"model":"here","messages":[]})";

std::string headOf(const std::string& line, std::size_t length)
{
    return line + "\r\nHost: a\r\nAuthorization: Bearer " + Testing::callerKey + "\r\nContent-Length: " + std::to_string(length) + "\r\n\r\n";
}

std::string postOf(const std::string& body)
{
    return headOf("POST /v1/chat/completions HTTP/1.1", body.size()) + body;
}

const std::string validRequest = postOf(validBody);

struct MalformedRequest {
    std::string bytes;
    ResultCode expected;
};

std::string replaceFirst(std::string text, const std::string& from, const std::string& to)
{
    return text.replace(text.find(from), from.size(), to);
}

/// Requests that are each malformed in one known way.
std::vector<MalformedRequest> malformedRequests()
{
    const std::string chunked = replaceFirst(validRequest, "Content-Length: 30", "Transfer-Encoding: chunked");
    const auto chunkedHead = chunked.substr(0, chunked.find("\r\n\r\n") + 4);
    return {
        { "\x16\x03\x01\x02\r\n\r\n", ResultCode::MalformedRequest },
        { replaceFirst(validRequest, "HTTP/1.1", "HTTP/9.9"), ResultCode::MalformedRequest },
        { replaceFirst(validRequest, "Host: a", "Host a"), ResultCode::MalformedRequest },
        { replaceFirst(validRequest, "Host: a", "Content-Length: 5"), ResultCode::MalformedRequest },
        { replaceFirst(validRequest, "Host: a", "Transfer-Encoding: chunked"), ResultCode::MalformedRequest },
        { replaceFirst(validRequest, "Content-Length: 30", "Content-Length: -1"), ResultCode::MalformedRequest },
        { replaceFirst(validRequest, "Host: a", "X: " + std::string(20'000, 'x')), ResultCode::HeadTooLarge },
        { postOf(std::string(bodyLimit + 1, ' ')), ResultCode::BodyTooLarge },
        { postOf(std::string(300'000, ' ')), ResultCode::BodyTooLarge },
        { chunkedHead + "4000\r\n" + std::string(0x4000, ' '), ResultCode::BodyTooLarge },
        { chunkedHead + "zz\r\n", ResultCode::MalformedRequest },
        { chunkedHead + "ffffffffffffffffffff\r\n", ResultCode::MalformedRequest },
        { headOf("POST /v1/chat/completions HTTP/1.1", 50) + "{", ResultCode::MalformedRequest },
        { validRequest.substr(0, 40), ResultCode::MalformedRequest },
        { postOf("{"), ResultCode::MalformedBody },
        { postOf("{\"model\":\"\xff\"}"), ResultCode::MalformedBody },
        { postOf(std::string(5000, '[')), ResultCode::MalformedBody },
        { postOf(R"({"a":)" + std::string(5000, '[')), ResultCode::BodyTooDeep },
        { postOf(R"({"model":"other"})"), ResultCode::RouteNotFound },
        { replaceFirst(validRequest, "/v1/chat", "/v1/\xc3\xa9?x="), ResultCode::RouteNotFound },
        { replaceFirst(validRequest, "Bearer ", "Bearer x"), ResultCode::KeyUnknown },
        { replaceFirst(validRequest, "Bearer ", "Basic "), ResultCode::KeyMissing },
        { replaceFirst(validRequest, "POST ", "BREW "), ResultCode::MethodNotAllowed },
        { replaceFirst(validRequest, "POST ", "CONNECT "), ResultCode::MethodNotAllowed },
        { replaceFirst(validRequest, "POST ", "TRACE "), ResultCode::MethodNotAllowed },
    };
}

/// An instance with a small body limit and one engine.
class MalformedInput : public ::testing::Test {
protected:
    MalformedInput()
        : engine_(0, 0)
        , instance_(smallSettings())
    {
        setLogLevel(LogLevel::Error);
        instance_.tables().configuration.set(Testing::snapshotOf(Testing::recordsFor(engine_.endpoint(), "khomas")));
    }

    ~MalformedInput() override { setLogLevel(LogLevel::Info); }

    static Settings smallSettings()
    {
        auto settings = Testing::settingsIn("khomas");
        settings.bodyLimit = ByteCount(bodyLimit);
        return settings;
    }

    Tcp::socket connect(const Endpoint& endpoint)
    {
        Tcp::socket socket(context_);
        socket.connect({ Asio::ip::make_address(endpoint.address), endpoint.port });
        socket.set_option(Tcp::no_delay(true));
        return socket;
    }

    /// Sends as much of `bytes` as the instance accepts and reads one answer.
    static std::optional<Http::response<Http::string_body>> exchange(Tcp::socket& socket, const std::string& bytes, bool isLast)
    {
        boost::system::error_code error;
        Asio::write(socket, Asio::buffer(bytes), error);
        if (isLast)
            socket.shutdown(Tcp::socket::shutdown_send, error);
        boost::beast::flat_buffer buffer;
        Http::response<Http::string_body> response;
        Http::read(socket, buffer, response, error);
        if (error)
            return std::nullopt;
        return response;
    }

    /// Returns the result code of an answer, or nothing if the answer is neither 200 nor a complete error in the OpenAI format.
    static std::optional<ResultCode> codeOf(const Http::response<Http::string_body>& response)
    {
        if (response.result_int() == 200)
            return ResultCode::Ok;
        const auto body = nlohmann::json::parse(response.body(), nullptr, false);
        if (!body.is_object() || !body.contains("error"))
            return std::nullopt;
        const auto& error = body["error"];
        const auto code = resultCodeFromNumber(error.value("number", std::uint16_t { 0 }));
        // A caller that closes its sending side after a complete request is treated as disconnected; the request may have run.
        const bool mayHaveRun = code == ResultCode::CallerGone && error.value("ran", "") == "unknown";
        const bool isComplete = code && error.value("code", "") == resultCodeEntry(*code).name && response.result_int() == resultCodeEntry(*code).httpStatus
            && (error.value("ran", "") == "no" || mayHaveRun) && !error.value("message", "").empty() && !error.value("type", "").empty() && error.contains("param");
        return isComplete ? code : std::nullopt;
    }

    /// Sends a valid request on a connection that stays open throughout the test.
    void expectAccepted(Tcp::socket& socket)
    {
        const auto response = exchange(socket, validRequest, false);
        ASSERT_TRUE(response);
        ASSERT_EQ(response->result_int(), 200) << response->body();
    }

    /// A request counts as in flight until shortly after its caller has received the answer.
    void expectNoRequestInFlight()
    {
        constexpr auto bound = std::chrono::seconds(5);
        const auto deadline = std::chrono::steady_clock::now() + bound;
        while (instance_.tables().requestsInFlight > 0 && std::chrono::steady_clock::now() < deadline)
            std::this_thread::yield();
        EXPECT_EQ(instance_.tables().requestsInFlight, 0);
    }

    Asio::io_context context_;
    Testing::LoopbackEngine engine_;
    Testing::LoopbackInstance instance_;
};

std::string helloFrame()
{
    return encodeFrame({ Incarnation(7), RequestId(0), HelloMessage { "erongo-1", "erongo", "erongo", 0 } });
}

ForwardMessage validForward()
{
    return { "guides", "chat", 1, "POST", "/v1/chat/completions", "application/json", "", "", 1000, validBody };
}

std::string forwardFrame(ForwardMessage message)
{
    return encodeFrame({ Incarnation(7), RequestId(1), std::move(message) });
}

Frame readFrame(Tcp::socket& socket)
{
    std::string length(frameLengthBytes, '\0');
    Asio::read(socket, Asio::buffer(length));
    std::string bytes(decodeFrameLength(length, 1024UL * 1024), '\0');
    Asio::read(socket, Asio::buffer(bytes));
    return decodeFrame(bytes);
}

/// Reads frames up to the end of an answer; returns Ok for a complete answer.
ResultCode readOutcome(Tcp::socket& socket)
{
    for (;;) {
        const auto frame = readFrame(socket);
        if (const auto* failure = std::get_if<FailureMessage>(&frame.message))
            return resultCodeFromNumber(failure->code).value_or(ResultCode::Ok);
        if (std::holds_alternative<AnswerEndMessage>(frame.message))
            return ResultCode::Ok;
    }
}

std::string withLength(const std::string& bytes)
{
    std::string frame;
    for (int shift = 24; shift >= 0; shift -= 8)
        frame += static_cast<char>((bytes.size() >> shift) & 0xff);
    return frame + bytes;
}

struct MalformedForward {
    ForwardMessage message;
    ResultCode expected;
};

/// A peer's request that is malformed in one known way, or is extreme but valid.
MalformedForward malformedForward(Random& random)
{
    MalformedForward malformed { validForward(), ResultCode::MalformedFrame };
    switch (randomBelow(random, 7)) {
    case 0:
        malformed.message.method = randomElement(random, std::vector<std::string> { "", "BREW", "GET /x HTTP/1.1\r\n", "HEAD" });
        break;
    case 1:
        malformed.message.target = randomElement(random, std::vector<std::string> { "", "x", "/a b", "/a\r\nX: y", std::string("/\0", 2) });
        break;
    case 2:
        malformed.message.contentType = "a\r\nX-Api-Key: x";
        break;
    case 3:
        malformed.message.idempotencyKey = "a\nb";
        break;
    case 4:
        malformed = { validForward(), ResultCode::ConfigurationBehind };
        malformed.message.revision = std::numeric_limits<std::int64_t>::max();
        break;
    case 5:
        malformed = { validForward(), ResultCode::RouteNotFound };
        malformed.message.route = Testing::randomBytes(random, 10);
        break;
    default:
        malformed = { validForward(), ResultCode::Ok };
        malformed.message.timeoutMilliseconds = std::numeric_limits<std::uint64_t>::max();
    }
    return malformed;
}

} // namespace

TEST_F(MalformedInput, EachMalformedRequestGetsItsResultCode)
{
    for (const auto& malformed : malformedRequests()) {
        auto socket = connect(instance_.member().callers);
        const auto response = exchange(socket, malformed.bytes, true);
        ASSERT_TRUE(response) << malformed.bytes.substr(0, 200);
        EXPECT_EQ(codeOf(*response), malformed.expected) << malformed.bytes.substr(0, 200) << response->body();
    }
}

// Guards against callers who fill the instance's memory with a chunk header, an extension or a trailer without end.
TEST_F(MalformedInput, AChunkHeaderOrTrailerWithoutEndIsRefusedWhileItArrives)
{
    constexpr std::size_t length = 4UL * 1024 * 1024;
    const auto head = replaceFirst(headOf("POST /v1/chat/completions HTTP/1.1", 0), "Content-Length: 0", "Transfer-Encoding: chunked");
    for (const auto* start : { "", "2;", "2\r\n{}\r\n", "2\r\n{}\r\n0\r\n" }) {
        auto socket = connect(instance_.member().callers);
        const auto response = exchange(socket, head + start + std::string(length, 'a'), false);
        ASSERT_TRUE(response) << start;
        EXPECT_EQ(codeOf(*response), ResultCode::MalformedRequest) << start << response->body();
    }
}

TEST_F(MalformedInput, MalformedRequestsGetResultCodesAndAffectNoOtherConnection)
{
    const auto malformed = malformedRequests();
    const std::vector<std::string> tokens { "\r\n\r\n", "\r\n", ":", " ", "\xff", "{", "[", "0\r\n\r\n", "Transfer-Encoding: chunked\r\n", std::string(1, '\0') };
    auto validConnection = connect(instance_.member().callers);
    std::uint64_t done = 0;
    forEachCase([&](Random& random) {
        auto socket = connect(instance_.member().callers);
        const bool isMutated = randomBelow(random, 2) == 0;
        const auto& chosen = randomElement(random, malformed);
        const auto bytes = isMutated ? Testing::mutate(random, validRequest, tokens) : chosen.bytes;
        const auto response = exchange(socket, bytes, true);
        // Line ends alone are not a request and get no answer.
        const bool isEmpty = bytes.find_first_not_of("\r\n") == std::string::npos;
        ASSERT_TRUE(response || isEmpty) << bytes;
        const auto code = response ? codeOf(*response) : ResultCode::Ok;
        ASSERT_TRUE(code) << bytes << response->body();
        ASSERT_TRUE(isMutated || code == chosen.expected) << bytes;
        if (done++ % casesPerValidRequest == 0)
            expectAccepted(validConnection);
    });
    expectAccepted(validConnection);
    expectNoRequestInFlight();
}

TEST_F(MalformedInput, MalformedFramesGetResultCodesAndAffectNoOtherConnection)
{
    auto validConnection = connect(instance_.member().peers);
    Asio::write(validConnection, Asio::buffer(helloFrame()));
    readFrame(validConnection);
    std::uint64_t done = 0;
    forEachCase([&](Random& random) {
        auto socket = connect(instance_.member().peers);
        const auto kind = randomBelow(random, 4);
        auto expected = ResultCode::MalformedFrame;
        std::string bytes;
        if (kind == 0) {
            bytes = withLength(Testing::randomBytes(random, 200));
        } else if (kind == 1) {
            expected = ResultCode::FrameTooLarge;
            bytes = "\x7f\xff\xff\xff" + Testing::randomBytes(random, 20'000);
        } else if (kind == 2) {
            expected = ResultCode::FrameVersionUnknown;
            bytes = forwardFrame(validForward());
            // The version follows the length and the byte that starts the array.
            bytes[frameLengthBytes + 1] = 2;
        } else {
            auto forward = malformedForward(random);
            expected = forward.expected;
            bytes = forwardFrame(std::move(forward.message));
        }
        Asio::write(socket, Asio::buffer(helloFrame() + bytes));
        readFrame(socket);
        const auto code = readOutcome(socket);
        // Random bytes may happen to start with an unknown version.
        ASSERT_TRUE(code == expected || (kind == 0 && code == ResultCode::FrameVersionUnknown)) << kind << " " << static_cast<unsigned>(code);
        if (done++ % casesPerValidRequest == 0) {
            Asio::write(validConnection, Asio::buffer(forwardFrame(validForward())));
            ASSERT_EQ(readOutcome(validConnection), ResultCode::Ok);
        }
    });
    Asio::write(validConnection, Asio::buffer(forwardFrame(validForward())));
    EXPECT_EQ(readOutcome(validConnection), ResultCode::Ok);
}

} // namespace Ibisturn
