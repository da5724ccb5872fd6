#pragma once

#include <LibKernel/AnswerSink.h>

#include <string>

namespace Ibisturn {

/// How the end of an answer to a caller is marked.
enum class AnswerFraming : std::uint8_t {
    /// The status allows no body.
    NoBody,
    /// The head tells the length.
    Length,
    /// The last chunk ends it.
    Chunks,
};

/// How an answer with this head is framed. Thread safety: any thread.
AnswerFraming framingOf(const AnswerHead& head);

enum class AfterAnswer : std::uint8_t {
    KeepAlive,
    Close,
};

/// The head as HTTP/1.1, which says so if the connection ends after the answer. Precondition: content type and headers hold no control characters. Thread safety: any thread.
std::string formatHead(const AnswerHead& head, AfterAnswer after);

} // namespace Ibisturn
