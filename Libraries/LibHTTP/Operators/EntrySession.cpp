#include <LibHTTP/Operators/EntrySession.h>

#include <LibKernel/SocketLiveness.h>

#include <utility>

#include <boost/beast/core.hpp>
#include <boost/beast/http.hpp>

namespace Ibisturn {

namespace Beast = boost::beast;
namespace Http = boost::beast::http;

namespace {

constexpr int httpVersion11 = 11;
/// Those who ask come back every second or two, if at all.
constexpr Duration idleTimeout = std::chrono::seconds(10);
constexpr std::uint32_t headLimit = 8U * 1024;

} // namespace

Task<void> serveEntries(Asio::ip::tcp::socket socket, const EntryDialect& dialect, const EntrySource& source)
{
    watchLiveness(socket);
    Beast::tcp_stream stream(std::move(socket));
    Beast::flat_buffer buffer;
    for (bool isOpen = true; isOpen;) {
        Http::request_parser<Http::string_body> parser;
        parser.header_limit(headLimit);
        parser.body_limit(headLimit);
        stream.expires_after(idleTimeout);
        boost::system::error_code error;
        co_await Http::async_read(stream, buffer, parser, Asio::redirect_error(Asio::use_awaitable, error));
        if (error)
            co_return;
        const auto target = parser.get().target();
        auto reply = dialect.answer({ target.data(), target.size() }, source);
        Http::response<Http::string_body> response(static_cast<Http::status>(reply.status), httpVersion11);
        const bool isJson = reply.body.starts_with('{');
        response.set(Http::field::content_type, isJson ? "application/json" : "text/plain; version=0.0.4");
        response.keep_alive(parser.keep_alive());
        response.body() = std::move(reply.body);
        response.prepare_payload();
        co_await Http::async_write(stream, response, Asio::redirect_error(Asio::use_awaitable, error));
        isOpen = !error && parser.keep_alive();
    }
}

} // namespace Ibisturn
