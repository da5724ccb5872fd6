#include <LibKernel/Asio.h>

#include <LibHTTP/Operators/BufferedRequests.h>

#include <future>
#include <optional>

#include <gtest/gtest.h>

namespace Ibisturn {

namespace {

using namespace std::chrono_literals;
using Tcp = Asio::ip::tcp;

constexpr BufferedRequestLimits limits { 60s, 8 * 1024, 64 * 1024 };

/// Serves one connection with serveBufferedRequests() and sends it one request.
class BufferedRequestsTest : public testing::Test {
protected:
    /// Returns what the server sends until it closes the connection, or nullopt if that takes longer than 2 s.
    std::optional<std::string> exchange(const std::string& request)
    {
        context_.restart();
        Tcp::acceptor acceptor(context_, Tcp::endpoint(Asio::ip::address_v4::loopback(), 0));
        Tcp::socket caller(context_);
        caller.connect(acceptor.local_endpoint());
        Asio::co_spawn(context_, serveBufferedRequests(acceptor.accept(), limits, answer), Asio::detached);
        auto written = Asio::co_spawn(context_, write(caller, request), Asio::use_future);
        auto read = Asio::co_spawn(context_, readAll(caller), Asio::use_future);
        const bool isInTime = runUntilReady(read);
        if (!isInTime)
            caller.close();
        runUntilReady(written);
        runUntilReady(read);
        return isInTime ? std::optional(read.get()) : std::nullopt;
    }

private:
    template <typename Result>
    bool runUntilReady(const std::future<Result>& result)
    {
        const auto deadline = std::chrono::steady_clock::now() + 2s;
        while (result.wait_for(0s) != std::future_status::ready && std::chrono::steady_clock::now() < deadline)
            context_.run_one_for(50ms);
        return result.wait_for(0s) == std::future_status::ready;
    }

    static Task<BufferedReply> answer(const BufferedRequest& request) { co_return BufferedReply { 200, "text/plain", std::string(request.body()) }; }

    static Task<void> write(Tcp::socket& caller, std::string request)
    {
        boost::system::error_code ignored;
        co_await Asio::async_write(caller, Asio::buffer(request), Asio::redirect_error(Asio::use_awaitable, ignored));
    }

    static Task<std::string> readAll(Tcp::socket& caller)
    {
        std::string received;
        boost::system::error_code ignored;
        co_await Asio::async_read(caller, Asio::dynamic_buffer(received), Asio::redirect_error(Asio::use_awaitable, ignored));
        co_return received;
    }

    Asio::io_context context_ { 1 };
};

std::string chunked(const std::string& body)
{
    return "POST / HTTP/1.1\r\nHost: a\r\nConnection: close\r\nTransfer-Encoding: chunked\r\n\r\n" + body;
}

} // namespace

TEST_F(BufferedRequestsTest, AnswersARequestInChunks)
{
    const auto answer = exchange(chunked("2\r\nok\r\n0\r\n\r\n"));
    ASSERT_TRUE(answer);
    EXPECT_TRUE(answer->starts_with("HTTP/1.1 200")) << *answer;
    EXPECT_TRUE(answer->ends_with("ok")) << *answer;
}

// Guards against callers who fill the instance's memory with a chunk header or a trailer without end.
TEST_F(BufferedRequestsTest, ClosesTheConnectionOnAChunkHeaderOrTrailerWithoutEnd)
{
    constexpr std::size_t length = 4UL * 1024 * 1024;
    for (const auto* start : { "", "2;", "0\r\n" })
        EXPECT_EQ(exchange(chunked(start + std::string(length, 'a'))), "") << start;
}

} // namespace Ibisturn
