#include <LibKernel/MessageFraming.h>

#include <algorithm>
#include <string_view>

#include <boost/beast/core/string.hpp>

namespace Ibisturn {

namespace Http = boost::beast::http;

namespace {

constexpr unsigned noContent = 204;
constexpr unsigned notModified = 304;

enum class TransferCoding : std::uint8_t {
    None,
    Chunked,
    /// Another coding, several, or a value that is no list of codings.
    Other,
};

std::string_view trimmed(std::string_view text)
{
    const auto first = text.find_first_not_of(" \t");
    if (first == std::string_view::npos)
        return {};
    return text.substr(first, text.find_last_not_of(" \t") - first + 1);
}

// All fields with the name form one list, in which empty elements don't count (RFC 9110, section 5.6.1.2).
TransferCoding transferCodingOf(const Http::fields& fields)
{
    const auto [begin, end] = fields.equal_range(Http::field::transfer_encoding);
    if (begin == end)
        return TransferCoding::None;
    std::size_t codings = 0;
    bool isChunked = false;
    for (auto field = begin; field != end; ++field) {
        std::string_view list(field->value().data(), field->value().size());
        while (!list.empty()) {
            const auto comma = list.find(',');
            const auto coding = trimmed(list.substr(0, comma));
            list = comma == std::string_view::npos ? std::string_view() : list.substr(comma + 1);
            if (coding.empty())
                continue;
            ++codings;
            isChunked = boost::beast::iequals({ coding.data(), coding.size() }, "chunked");
        }
    }
    return codings == 1 && isChunked ? TransferCoding::Chunked : TransferCoding::Other;
}

// With both fields, a receiver in between may have gone by the other one. HTTP/1.0 has no transfer codings, so a part of the message
// may have been sent by a sender that does not know them (RFC 9112, section 6.1).
std::optional<MessageEnd> endOfCodedMessage(unsigned version, TransferCoding coding, bool hasLength)
{
    const bool isFramed = coding == TransferCoding::Chunked && version > httpVersion10 && !hasLength;
    return isFramed ? std::optional(MessageEnd::LastChunk) : std::nullopt;
}

bool rulesOutBody(unsigned status)
{
    const bool isInterim = status / 100 == 1;
    return isInterim || status == noContent || status == notModified;
}

} // namespace

std::optional<MessageEnd> endOfRequest(unsigned version, const Http::fields& fields)
{
    const auto coding = transferCodingOf(fields);
    const bool hasLength = fields.count(Http::field::content_length) > 0;
    if (coding != TransferCoding::None)
        return endOfCodedMessage(version, coding, hasLength);
    return hasLength ? MessageEnd::ContentLength : MessageEnd::Head;
}

std::optional<MessageEnd> endOfAnswer(unsigned version, unsigned status, const Http::fields& fields)
{
    if (rulesOutBody(status))
        return MessageEnd::Head;
    const auto coding = transferCodingOf(fields);
    const bool hasLength = fields.count(Http::field::content_length) > 0;
    if (coding != TransferCoding::None)
        return endOfCodedMessage(version, coding, hasLength);
    return hasLength ? MessageEnd::ContentLength : MessageEnd::ConnectionClose;
}

bool announcesForbiddenBody(unsigned status, const Http::fields& fields)
{
    if (!rulesOutBody(status))
        return false;
    const auto [begin, end] = fields.equal_range(Http::field::content_length);
    const bool hasLength = std::any_of(begin, end, [](const auto& field) { return field.value() != "0"; });
    return hasLength || fields.count(Http::field::transfer_encoding) > 0;
}

} // namespace Ibisturn
