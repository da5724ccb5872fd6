#include <LibHTTP/Callers/AnswerFormat.h>

#include <boost/beast/http/status.hpp>
#include <fmt/format.h>

namespace Ibisturn {

namespace Http = boost::beast::http;

AnswerFraming framingOf(const AnswerHead& head)
{
    const auto status = static_cast<Http::status>(head.status);
    if (status == Http::status::no_content || status == Http::status::not_modified)
        return AnswerFraming::NoBody;
    // A truncated event stream ends with an additional error event, which would not fit into a declared Content-Length.
    const bool hasLength = head.contentLength && !head.contentType.starts_with("text/event-stream");
    return hasLength ? AnswerFraming::Length : AnswerFraming::Chunks;
}

std::string formatHead(const AnswerHead& head, AfterAnswer after)
{
    const auto reason = Http::obsolete_reason(static_cast<Http::status>(head.status));
    auto text = fmt::format("HTTP/1.1 {} {}\r\n", head.status, std::string_view(reason.data(), reason.size()));
    if (!head.contentType.empty())
        fmt::format_to(std::back_inserter(text), "Content-Type: {}\r\n", head.contentType);
    for (const auto& header : head.headers)
        fmt::format_to(std::back_inserter(text), "{}: {}\r\n", header.name, header.value);
    const auto framing = framingOf(head);
    if (framing == AnswerFraming::Length)
        fmt::format_to(std::back_inserter(text), "Content-Length: {}\r\n", *head.contentLength);
    if (framing == AnswerFraming::Chunks)
        text += "Transfer-Encoding: chunked\r\n";
    if (after == AfterAnswer::Close)
        text += "Connection: close\r\n";
    text += "\r\n";
    return text;
}

} // namespace Ibisturn
