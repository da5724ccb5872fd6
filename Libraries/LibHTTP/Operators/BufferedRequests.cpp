#include <LibHTTP/Operators/BufferedRequests.h>

#include <LibKernel/HttpLimits.h>

#include <utility>

#include <boost/beast/core.hpp>

namespace Ibisturn {

namespace Beast = boost::beast;
namespace Http = boost::beast::http;

namespace {

constexpr int httpVersion11 = 11;

} // namespace

Task<void> serveBufferedRequests(Asio::ip::tcp::socket socket, BufferedRequestLimits limits, std::function<Task<BufferedReply>(const BufferedRequest&)> answer)
{
    Beast::tcp_stream stream(std::move(socket));
    Beast::flat_buffer buffer(receiveBufferLimit(limits.head));
    for (bool isOpen = true; isOpen;) {
        Http::request_parser<Http::string_body> parser;
        parser.header_limit(limits.head);
        parser.body_limit(limits.body);
        stream.expires_after(limits.idleTimeout);
        boost::system::error_code error;
        co_await Http::async_read(stream, buffer, parser, Asio::redirect_error(Asio::use_awaitable, error));
        if (error)
            co_return;
        BufferedReply reply = co_await answer(parser.get());
        Http::response<Http::string_body> response(static_cast<Http::status>(reply.status), httpVersion11);
        response.set(Http::field::content_type, reply.contentType);
        response.keep_alive(parser.keep_alive());
        response.body() = std::move(reply.body);
        response.prepare_payload();
        co_await Http::async_write(stream, response, Asio::redirect_error(Asio::use_awaitable, error));
        isOpen = !error && parser.keep_alive();
    }
}

} // namespace Ibisturn
