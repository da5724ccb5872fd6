#include <LibKernel/HttpClient.h>

#include <LibCore/SteadyClock.h>
#include <LibKernel/Pause.h>
#include <Tests/Support/EndlessServer.h>
#include <Tests/Support/SlowServer.h>

#include <gtest/gtest.h>

#include <boost/beast/http/error.hpp>

namespace Ibisturn {

namespace {

using namespace std::chrono_literals;
using Testing::EndlessServer;
using Testing::SlowServer;

const std::string answerHead = "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n";

/// Calls a server and returns the error with which the call ends.
template <typename Call>
boost::system::error_code errorOf(Asio::io_context& context, Call call)
{
    boost::system::error_code failure;
    Asio::co_spawn(
        context, std::move(call), [&failure](const std::exception_ptr& error, auto&&...) {
            try {
                if (error)
                    std::rethrow_exception(error);
            } catch (const boost::system::system_error& caught) {
                failure = caught.code();
            }
        });
    context.run();
    return failure;
}

HttpCall callTo(const EndlessServer& server)
{
    HttpCall call;
    call.endpoint = server.endpoint();
    call.replyLimit = ByteCount(64UL * 1024);
    return call;
}

} // namespace

// Guards against an instance that runs out of memory on a reply without end.
TEST(HttpClient, AReplyWithoutEndExceedsTheLimit)
{
    const std::string chunk = "1000\r\n" + std::string(4096, 'a') + "\r\n";
    for (const auto& [start, filling] : { std::pair(answerHead, chunk), std::pair(answerHead, std::string(4096, 'a')), std::pair(answerHead + "0\r\n", std::string(4096, 'a')) }) {
        Asio::io_context context(1);
        EndlessServer server(context, start, filling);
        const auto error = errorOf(context, exchangeHttp(callTo(server)));
        EXPECT_EQ(error.category(), make_error_code(boost::beast::http::error::body_limit).category()) << start << error.message();
        EXPECT_TRUE(server.isClosedByClient()) << start;
        EXPECT_FALSE(server.isExhausted()) << start;
    }
}

TEST(HttpClient, ALineWithoutEndExceedsTheLimit)
{
    const std::string chunk = "1000\r\n" + std::string(4096, 'a') + "\r\n";
    for (const auto& filling : { chunk, std::string(4096, 'a') }) {
        Asio::io_context context(1);
        EndlessServer server(context, answerHead, filling);
        const auto error = errorOf(context, readHttpLines(callTo(server), [](std::string_view) {}));
        EXPECT_EQ(error.category(), make_error_code(boost::beast::http::error::body_limit).category()) << error.message();
        EXPECT_TRUE(server.isClosedByClient());
        EXPECT_FALSE(server.isExhausted());
    }
}

// Guards against a reply that fills the memory of a small instance because its call states no limit.
TEST(HttpClient, AReplyToACallWithoutALimitOfItsOwnIsLimitedToo)
{
    Asio::io_context context(1);
    EndlessServer server(context, answerHead, "1000\r\n" + std::string(4096, 'a') + "\r\n");
    HttpCall call;
    call.endpoint = server.endpoint();
    const auto error = errorOf(context, exchangeHttp(std::move(call)));
    EXPECT_EQ(error, make_error_code(boost::beast::http::error::body_limit)) << error.message();
    EXPECT_TRUE(server.isClosedByClient());
    EXPECT_FALSE(server.isExhausted());
}

// Guards against a call that lasts for as long as a byte of its reply comes now and then.
TEST(HttpClient, AReplyThatDripsEndsWithTheTimeoutOfTheCall)
{
    Asio::io_context context(1);
    SlowServer server(context, "HTTP/1.1 200 OK\r\nContent-Length: 1000\r\n\r\n", std::string(1000, 'a'), 20ms);
    HttpCall call;
    call.endpoint = server.endpoint();
    call.timeout = 300ms;
    const auto startedAt = SteadyClock().now();
    const auto error = errorOf(context, exchangeHttp(std::move(call)));
    EXPECT_EQ(error, make_error_code(boost::beast::error::timeout)) << error.message();
    EXPECT_TRUE(server.isClosedByClient());
    EXPECT_LT(SteadyClock().now() - startedAt, 10s);
}

namespace {

/// Answers one call with a body of `parts` of 64 KiB, each of them after `pauseTime`, and then waits if the body is not complete.
Task<void> serveInParts(Asio::ip::tcp::acceptor& acceptor, std::size_t parts, std::size_t announcedParts, Duration pauseTime)
{
    constexpr std::size_t partBytes = 64UL * 1024;
    auto socket = co_await acceptor.async_accept(Asio::use_awaitable);
    std::string received;
    co_await Asio::async_read_until(socket, Asio::dynamic_buffer(received), "\r\n\r\n", Asio::use_awaitable);
    const auto head = fmt::format("HTTP/1.1 200 OK\r\nContent-Length: {}\r\n\r\n", announcedParts * partBytes);
    co_await Asio::async_write(socket, Asio::buffer(head), Asio::use_awaitable);
    const std::string part(partBytes, 'a');
    for (std::size_t count = 0; count < parts; ++count) {
        co_await pause(pauseTime);
        co_await Asio::async_write(socket, Asio::buffer(part), Asio::use_awaitable);
    }
    boost::system::error_code closed;
    co_await socket.async_read_some(Asio::buffer(received), Asio::redirect_error(Asio::use_awaitable, closed));
}

} // namespace

// Guards against a large configuration that never arrives over a slow link, since each attempt to read it ends at the same time.
TEST(HttpClient, AReplyThatMakesProgressMayTakeLongerThanTheTimeout)
{
    for (const std::size_t announcedParts : { 6, 7 }) {
        Asio::io_context context(1);
        Asio::ip::tcp::acceptor acceptor(context, Asio::ip::tcp::endpoint(Asio::ip::address_v4::loopback(), 0));
        Asio::co_spawn(context, serveInParts(acceptor, 6, announcedParts, 100ms), Asio::detached);
        HttpCall call;
        call.endpoint = { "127.0.0.1", acceptor.local_endpoint().port() };
        call.timeout = 400ms;
        const auto error = errorOf(context, exchangeHttp(std::move(call)));
        EXPECT_EQ(error, announcedParts == 6 ? boost::system::error_code() : make_error_code(boost::beast::error::timeout)) << error.message();
    }
}

// Guards against bytes that are no reply of the protocol which pass for one of a store or a server that reports its load.
TEST(HttpClient, AReplyWithAnInvalidStatusFailsTheCall)
{
    for (const auto* status : { "000", "099", "100", "199", "600", "999", "20", "2000" }) {
        const auto head = fmt::format("HTTP/1.1 {} OK\r\nTransfer-Encoding: chunked\r\n\r\n", status);
        for (const bool isLines : { false, true }) {
            Asio::io_context context(1);
            EndlessServer server(context, head + "3\r\nok\n\r\n0\r\n\r\n", "\r\n");
            std::size_t lines = 0;
            const auto error = isLines ? errorOf(context, readHttpLines(callTo(server), [&lines](std::string_view) { ++lines; })) : errorOf(context, exchangeHttp(callTo(server)));
            EXPECT_EQ(error, make_error_code(boost::beast::http::error::bad_status)) << status << error.message();
            EXPECT_EQ(lines, 0U) << status;
        }
    }
}

// Guards against a reply of the store whose body is coded or cut, and passes for a whole one.
TEST(HttpClient, AReplyWhoseEndIsNotKnownFailsTheCall)
{
    const std::vector<std::string> heads {
        "HTTP/1.1 200 OK\r\nTransfer-Encoding: gzip\r\n\r\n",
        "HTTP/1.1 200 OK\r\nTransfer-Encoding: gzip\r\nContent-Length: 3\r\n\r\n",
        "HTTP/1.1 200 OK\r\nTransfer-Encoding: gzip, chunked\r\n\r\n",
        "HTTP/1.0 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n",
    };
    for (const auto& head : heads) {
        for (const bool isLines : { false, true }) {
            Asio::io_context context(1);
            EndlessServer server(context, head + "3\r\nok\n\r\n0\r\n\r\n", "\r\n");
            std::size_t lines = 0;
            const auto error = isLines ? errorOf(context, readHttpLines(callTo(server), [&lines](std::string_view) { ++lines; })) : errorOf(context, exchangeHttp(callTo(server)));
            EXPECT_EQ(error, make_error_code(boost::beast::http::error::bad_transfer_encoding)) << head << error.message();
            EXPECT_EQ(lines, 0U) << head;
        }
    }
}

} // namespace Ibisturn
