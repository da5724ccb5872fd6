#include <LibKernel/HttpClient.h>

#include <Tests/Support/EndlessServer.h>

#include <gtest/gtest.h>

#include <boost/beast/http/error.hpp>

namespace Ibisturn {

namespace {

using Testing::EndlessServer;

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

} // namespace Ibisturn
