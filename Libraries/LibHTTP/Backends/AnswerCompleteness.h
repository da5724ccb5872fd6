#pragma once

#include <string>
#include <string_view>

namespace Ibisturn {

/// Tells whether an answer that ended is whole. An event stream of an engine is whole only after its
/// terminal event, whatever the connection says.
/// Thread safety: one thread at a time.
class AnswerCompleteness {
public:
    /// Starts an answer of this content type.
    explicit AnswerCompleteness(std::string_view contentType);

    /// Takes the next part of the answer.
    void add(std::string_view part);

    /// Whether the answer is a stream of server-sent events.
    bool isEventStream() const { return isEventStream_; }

    /// Whether the answer may end here.
    bool isWhole() const;

private:
    bool isEventStream_;
    /// The last bytes of the answer, enough for the terminal event.
    std::string tail_;
};

} // namespace Ibisturn
