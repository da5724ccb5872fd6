#pragma once

#include <LibCore/Error.h>
#include <LibKernel/Asio.h>

#include <functional>
#include <utility>

#include <boost/beast/core.hpp>
#include <boost/beast/http.hpp>

namespace Ibisturn {

using CallerParser = boost::beast::http::request_parser<boost::beast::http::string_body>;

/// What happens to the connection after a request.
enum class AfterRequest : std::uint8_t {
    KeepAlive,
    Close,
};

/// Reads the body of a request whose head was read, up to the parser's limit. Sends `100 Continue` first if the caller
/// expects it. Throws Error if the body is too large, late or malformed. Precondition: the stream's timeout is set.
/// Calls `beforePart` before each read; what it throws ends the reading. Thread safety: the worker of the stream.
template <typename Stream>
Task<void> readRequestBody(Stream& stream, boost::beast::flat_buffer& buffer, CallerParser& parser, std::function<void(CallerParser&)> beforePart = nullptr)
{
    namespace Http = boost::beast::http;
    constexpr int httpVersion11 = 11;
    boost::system::error_code error;
    if (boost::beast::iequals(parser.get()[Http::field::expect], "100-continue")) {
        const Http::response<Http::empty_body> proceed(Http::status::continue_, httpVersion11);
        co_await Http::async_write(stream, proceed, Asio::redirect_error(Asio::use_awaitable, error));
    }
    parser.eager(true);
    while (!parser.is_done() && !error) {
        if (beforePart)
            beforePart(parser);
        co_await Http::async_read_some(stream, buffer, parser, Asio::redirect_error(Asio::use_awaitable, error));
    }
    if (error == Http::error::body_limit)
        throw Error(ResultCode::BodyTooLarge, Ran::No, "The request's body exceeds the limit");
    if (error == boost::beast::error::timeout)
        throw Error(ResultCode::RequestReadTimeout, Ran::No, "The request's body did not arrive in time");
    if (error)
        throw Error(ResultCode::MalformedRequest, Ran::No, "The request's body is not valid HTTP");
}

} // namespace Ibisturn
