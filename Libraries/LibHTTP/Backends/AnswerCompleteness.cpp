#include <LibHTTP/Backends/AnswerCompleteness.h>

namespace Ibisturn {

namespace {

constexpr std::string_view terminalEvent = "data: [DONE]";
constexpr std::size_t maxLineEnds = 4;
constexpr std::size_t tailBytes = terminalEvent.size() + maxLineEnds + 1;

} // namespace

AnswerCompleteness::AnswerCompleteness(std::string_view contentType, LastEvent lastEvent)
    : isEventStream_(contentType.starts_with("text/event-stream"))
    , lastEvent_(lastEvent)
{
}

void AnswerCompleteness::add(std::string_view part)
{
    if (!isEventStream_)
        return;
    tail_.append(part.substr(part.size() > tailBytes ? part.size() - tailBytes : 0));
    if (tail_.size() > tailBytes)
        tail_.erase(0, tail_.size() - tailBytes);
}

bool AnswerCompleteness::isComplete() const
{
    if (!isEventStream_)
        return true;
    if (lastEvent_ == LastEvent::Terminal)
        return endsAfterTerminalEvent();
    return tail_.empty() || tail_.ends_with("\n\n") || tail_.ends_with("\r\n\r\n") || tail_.ends_with("\r\r");
}

bool AnswerCompleteness::endsAfterTerminalEvent() const
{
    const auto last = tail_.find_last_not_of("\r\n");
    if (last == std::string::npos || last + 1 == tail_.size())
        return false;
    const auto line = std::string_view(tail_).substr(0, last + 1);
    if (!line.ends_with(terminalEvent))
        return false;
    const auto before = line.size() - terminalEvent.size();
    return before == 0 || line[before - 1] == '\n';
}

} // namespace Ibisturn
