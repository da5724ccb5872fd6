#pragma once

#include <LibCore/Error.h>
#include <LibHTTP/Callers/CallerParser.h>
#include <LibKernel/Asio.h>

#include <algorithm>
#include <functional>
#include <utility>

#include <boost/beast/core.hpp>
#include <boost/beast/http.hpp>

namespace Ibisturn {

/// What happens to the connection after a request.
enum class AfterRequest : std::uint8_t {
    KeepAlive,
    Close,
};

/// Parses what `buffer` holds, and reads until the parser could use some of it, as Beast's async_read_some() does. Calls `beforeRead` with the
/// capacity that the buffer has after the next read, before each one; what it throws ends the reading.
/// Precondition: the stream's timeout is set. Thread safety: the worker of the stream.
template <typename Stream>
Task<void> readSome(Stream& stream, boost::beast::flat_buffer& buffer, CallerParser& parser, boost::system::error_code& error, const std::function<void(std::size_t)>& beforeRead)
{
    namespace Http = boost::beast::http;
    constexpr std::size_t minReadSize = 512;
    constexpr std::size_t maxReadSize = 64UL * 1024;
    error = make_error_code(Http::error::need_more);
    if (buffer.size() > 0)
        buffer.consume(parser.put(buffer.data(), error));
    while (error == Http::error::need_more) {
        const auto wanted = std::clamp(buffer.capacity() - buffer.size(), minReadSize, maxReadSize);
        const auto size = std::min(wanted, buffer.max_size() - buffer.size());
        if (size == 0) {
            error = make_error_code(Http::error::buffer_overflow);
            co_return;
        }
        const auto needed = buffer.size() + size;
        const auto capacity = needed <= buffer.capacity() ? buffer.capacity() : std::min(buffer.max_size(), std::max(2 * buffer.size(), needed));
        if (beforeRead)
            beforeRead(capacity);
        const auto count = co_await stream.async_read_some(buffer.prepare(size), Asio::redirect_error(Asio::use_awaitable, error));
        buffer.commit(count);
        if (error == Asio::error::eof) {
            error = make_error_code(Http::error::end_of_stream);
            if (parser.got_some())
                parser.put_eof(error);
            co_return;
        }
        if (error)
            co_return;
        buffer.consume(parser.put(buffer.data(), error));
    }
}

/// Reads the body of a request whose head was read, up to the parser's limit. Sends `100 Continue` first if the caller
/// expects it. Throws Error if the body is too large, late or malformed. Precondition: the stream's timeout is set.
/// Calls `beforePart` before each part, and `beforeRead` as readSome() does; what they throw ends the reading.
/// Thread safety: the worker of the stream.
template <typename Stream>
Task<void> readRequestBody(Stream& stream, boost::beast::flat_buffer& buffer, CallerParser& parser, std::function<void(CallerParser&)> beforePart = nullptr, std::function<void(std::size_t)> beforeRead = nullptr)
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
        co_await readSome(stream, buffer, parser, error, beforeRead);
    }
    if (error == Http::error::body_limit)
        throw Error(ResultCode::BodyTooLarge, Ran::No, "The request's body exceeds the limit");
    if (error == boost::beast::error::timeout)
        throw Error(ResultCode::RequestReadTimeout, Ran::No, "The request's body did not arrive in time");
    if (error)
        throw Error(ResultCode::MalformedRequest, Ran::No, "The request's body is not valid HTTP");
}

} // namespace Ibisturn
