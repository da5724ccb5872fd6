#pragma once

#include <cstdint>
#include <string>
#include <string_view>

namespace Ibisturn {

/// Determines whether an answer that ended is complete, even if the connection was closed cleanly. An event stream must not end
/// within an event, and that of an engine is complete only after its terminal event.
/// Thread safety: one thread at a time.
class AnswerCompleteness {
public:
    enum class LastEvent : std::uint8_t {
        Any,
        Terminal,
    };

    /// Starts an answer of this content type, whose stream may end after `lastEvent`.
    explicit AnswerCompleteness(std::string_view contentType, LastEvent lastEvent = LastEvent::Terminal);

    /// Appends the next part of the answer.
    void add(std::string_view part);

    /// Whether the answer is a stream of server-sent events.
    bool isEventStream() const { return isEventStream_; }

    /// Whether the answer is complete if it ends here.
    bool isComplete() const;

private:
    bool endsAfterTerminalEvent() const;

    bool isEventStream_;
    LastEvent lastEvent_;
    /// The last bytes of the answer, enough for the terminal event.
    std::string tail_;
};

} // namespace Ibisturn
