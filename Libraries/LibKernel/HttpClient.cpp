#include <LibKernel/HttpClient.h>

#include <LibCore/Log.h>
#include <LibKernel/AnswerParser.h>
#include <LibKernel/HttpLimits.h>
#include <LibKernel/SocketOptions.h>

#include <algorithm>
#include <array>
#include <limits>
#include <utility>

#include <boost/beast/core.hpp>
#include <boost/beast/http.hpp>

namespace Ibisturn {

namespace Beast = boost::beast;
namespace Http = boost::beast::http;

namespace {

constexpr Log callLog("call");
constexpr int httpVersion11 = 11;
constexpr std::size_t lineReadBytes = 16UL * 1024;
/// A part of a body must arrive within the timeout of its call.
constexpr std::size_t bodyPartBytes = 64UL * 1024;

Http::request<Http::string_body> makeRequest(const HttpCall& call)
{
    Http::request<Http::string_body> request(Http::string_to_verb(call.method), call.target, httpVersion11);
    request.set(Http::field::host, call.endpoint.toString());
    request.set(Http::field::connection, "close");
    for (const auto& header : call.headers)
        request.set(header.name, header.value);
    request.body() = call.body;
    request.prepare_payload();
    return request;
}

Task<void> connectAndSend(Beast::tcp_stream& stream, const HttpCall& call)
{
    stream.expires_after(call.timeout);
    const Asio::ip::tcp::endpoint target(Asio::ip::make_address(call.endpoint.address), call.endpoint.port);
    openOutgoingSocket(stream.socket(), target);
    co_await stream.async_connect(target, Asio::use_awaitable);
    const auto request = makeRequest(call);
    co_await Http::async_write(stream, request, Asio::use_awaitable);
}

void deliverLines(std::string& pending, const std::function<void(std::string_view)>& onLine)
{
    std::size_t start = 0;
    for (auto end = pending.find('\n'); end != std::string::npos; end = pending.find('\n', start)) {
        if (end > start)
            onLine(std::string_view(pending).substr(start, end - start));
        start = end + 1;
    }
    pending.erase(0, start);
}

/// Logs the reply to `call` if it was refused because it exceeds the limit.
void logIfOverLimit(const HttpCall& call, const boost::system::error_code& error)
{
    if (error != Http::error::body_limit && error != Http::error::header_limit && error != Http::error::buffer_overflow)
        return;
    callLog.warning("Reply exceeds the limit; the call fails.", { { "endpoint", call.endpoint.toString() }, { "path", call.target.substr(0, call.target.find('?')) }, { "limit", call.replyLimit.count() }, { "reason", error.message() } });
}

} // namespace

std::string_view HttpReply::header(std::string_view name) const
{
    const auto found = std::find_if(headers.begin(), headers.end(), [name](const HttpHeader& header) { return Beast::iequals(header.name, Beast::string_view(name.data(), name.size())); });
    return found == headers.end() ? std::string_view() : std::string_view(found->value);
}

Task<HttpReply> exchangeHttp(HttpCall call)
{
    const auto executor = co_await Asio::this_coro::executor;
    Beast::tcp_stream stream(executor);
    co_await connectAndSend(stream, call);
    Beast::flat_buffer buffer(maxUnparsedBytes);
    AnswerParser<Http::string_body> parser;
    parser.body_limit(call.replyLimit.count());
    boost::system::error_code error;
    co_await Http::async_read_header(stream, buffer, parser, Asio::redirect_error(Asio::use_awaitable, error));
    if (!error && !isFinalStatus(parser.get().result_int()))
        error = Http::error::bad_status;
    stream.expires_after(call.timeout);
    std::size_t received = 0;
    while (!error && !parser.is_done()) {
        received += co_await Http::async_read_some(stream, buffer, parser, Asio::redirect_error(Asio::use_awaitable, error));
        if (received < bodyPartBytes)
            continue;
        received = 0;
        stream.expires_after(call.timeout);
    }
    logIfOverLimit(call, error);
    if (error)
        throw boost::system::system_error(error);
    HttpReply reply { parser.get().result_int(), std::move(parser.get().body()) };
    for (const auto& field : parser.get())
        reply.headers.push_back({ std::string(field.name_string().data(), field.name_string().size()), std::string(field.value().data(), field.value().size()) });
    co_return reply;
}

Task<void> readHttpLines(HttpCall call, std::function<void(std::string_view)> onLine)
{
    const auto executor = co_await Asio::this_coro::executor;
    Beast::tcp_stream stream(executor);
    co_await connectAndSend(stream, call);
    Beast::flat_buffer buffer(maxUnparsedBytes);
    AnswerParser<Http::buffer_body> parser;
    parser.body_limit(unlimitedBody);
    co_await Http::async_read_header(stream, buffer, parser, Asio::use_awaitable);
    if (!isFinalStatus(parser.get().result_int()))
        throw boost::system::system_error(make_error_code(Http::error::bad_status));
    std::array<char, lineReadBytes> part {};
    std::string pending;
    while (!parser.is_done()) {
        parser.get().body().data = part.data();
        parser.get().body().size = part.size();
        stream.expires_after(call.timeout);
        boost::system::error_code error;
        co_await Http::async_read_some(stream, buffer, parser, Asio::redirect_error(Asio::use_awaitable, error));
        logIfOverLimit(call, error);
        if (error && error != Http::error::need_buffer)
            throw boost::system::system_error(error);
        pending.append(part.data(), part.size() - parser.get().body().size);
        deliverLines(pending, onLine);
        if (pending.size() > call.replyLimit.count()) {
            logIfOverLimit(call, make_error_code(Http::error::body_limit));
            throw boost::system::system_error(make_error_code(Http::error::body_limit));
        }
    }
}

} // namespace Ibisturn
