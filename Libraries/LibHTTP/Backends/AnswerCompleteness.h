#pragma once

#include <string>
#include <string_view>

namespace Ibisturn {

/// Determines whether an answer that ended is complete. An engine's event stream is complete only after its
/// terminal event, even if the connection was closed cleanly.
/// Thread safety: one thread at a time.
class AnswerCompleteness {
public:
    /// Starts an answer of this content type.
    explicit AnswerCompleteness(std::string_view contentType);

    /// Appends the next part of the answer.
    void add(std::string_view part);

    /// Whether the answer is a stream of server-sent events.
    bool isEventStream() const { return isEventStream_; }

    /// Whether the answer is complete if it ends here.
    bool isComplete() const;

private:
    bool isEventStream_;
    /// The last bytes of the answer, enough for the terminal event.
    std::string tail_;
};

} // namespace Ibisturn
