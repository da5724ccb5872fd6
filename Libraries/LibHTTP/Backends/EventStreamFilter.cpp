#include <LibHTTP/Backends/EventStreamFilter.h>

#include <LibHTTP/Backends/AnswerBoundError.h>

#include <charconv>

namespace Ibisturn {

namespace {

constexpr std::string_view eventEnd = "\n\n";
constexpr std::string_view idField = "id:";
constexpr std::size_t maxEventBytes = 256UL * 1024;

std::optional<std::uint64_t> idOf(std::string_view event)
{
    while (!event.empty()) {
        auto line = event.substr(0, event.find('\n'));
        event.remove_prefix(std::min(event.size(), line.size() + 1));
        if (!line.starts_with(idField))
            continue;
        line.remove_prefix(idField.size());
        if (line.starts_with(' '))
            line.remove_prefix(1);
        std::uint64_t id = 0;
        const auto [rest, error] = std::from_chars(line.data(), line.data() + line.size(), id);
        if (error == std::errc() && rest == line.data() + line.size())
            return id;
    }
    return std::nullopt;
}

} // namespace

std::string EventStreamFilter::take(std::string_view bytes)
{
    // The bytes before hold no end of an event, but their last one may begin it.
    const auto searched = buffer_.empty() ? 0 : buffer_.size() - 1;
    buffer_ += bytes;
    std::string passed;
    std::size_t begin = 0;
    for (auto end = buffer_.find(eventEnd, searched); end != std::string::npos; end = buffer_.find(eventEnd, begin)) {
        const auto event = std::string_view(buffer_).substr(begin, end + eventEnd.size() - begin);
        if (shouldPass(event))
            passed += event;
        begin = end + eventEnd.size();
    }
    buffer_.erase(0, begin);
    if (buffer_.size() > maxEventBytes)
        throw AnswerBoundError(ResultCode::AnswerCut, Ran::Yes, "An event of the stream exceeds the limit");
    return passed;
}

bool EventStreamFilter::shouldPass(std::string_view event)
{
    const auto id = idOf(event);
    // The terminal event has no id.
    if (!id)
        return true;
    if (numbering_ == EventNumbering::Increasing) {
        if (lastEvent_ && *id <= *lastEvent_)
            return false;
        lastEvent_ = id;
        return true;
    }
    const std::uint64_t next = lastEvent_ ? *lastEvent_ + 1 : 0;
    if (*id < next)
        return false;
    if (*id > next)
        throw Error(ResultCode::AnswerCut, Ran::Yes, "An event of the stream is missing");
    lastEvent_ = id;
    return true;
}

} // namespace Ibisturn
