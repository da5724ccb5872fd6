#pragma once

#include <cstdint>
#include <optional>

#include <boost/beast/http/fields.hpp>
#include <boost/beast/http/parser.hpp>

namespace Ibisturn {

/// What tells the receiver of a message where it ends.
enum class MessageEnd : std::uint8_t {
    /// The message ends with its head.
    Head,
    ContentLength,
    LastChunk,
    /// The connection ends with the message. Answers only.
    ConnectionClose,
};

/// Beast's number of a version of HTTP.
constexpr unsigned httpVersion10 = 10;

/// What tells the end of a request with these fields, by RFC 9112, section 6; empty if nothing does, or if its body has a transfer
/// coding that can't be decoded. `version` is Beast's. Precondition: the values of Content-Length are valid and don't differ.
/// Thread safety: any thread.
std::optional<MessageEnd> endOfRequest(unsigned version, const boost::beast::http::fields& fields);

/// The same for a final answer to a request that is not HEAD. Thread safety: any thread.
std::optional<MessageEnd> endOfAnswer(unsigned version, unsigned status, const boost::beast::http::fields& fields);

/// Whether an answer whose status rules out a body announces one. Its sender may send that body all the same.
/// Thread safety: any thread.
bool announcesForbiddenBody(unsigned status, const boost::beast::http::fields& fields);

/// Whether Beast's parser has understood the end of a message as `end`. Precondition: the parser has read the head.
template <bool isRequest>
bool hasEnd(const boost::beast::http::basic_parser<isRequest>& parser, std::optional<MessageEnd> end)
{
    if (!end)
        return false;
    if (*end == MessageEnd::Head)
        return parser.is_done();
    return parser.chunked() == (*end == MessageEnd::LastChunk) && parser.content_length().has_value() == (*end == MessageEnd::ContentLength);
}

} // namespace Ibisturn
