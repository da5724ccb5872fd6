#pragma once

#include <LibKernel/AnswerSink.h>

#include <string>

namespace Ibisturn {

/// How the body of an answer to a caller is delimited.
enum class AnswerFraming : std::uint8_t {
    /// The status allows no body.
    NoBody,
    /// The head declares the length (Content-Length).
    Length,
    /// Chunked transfer coding; the last chunk ends the body.
    Chunks,
};

/// Returns the framing for an answer with this head. Thread safety: any thread.
AnswerFraming framingOf(const AnswerHead& head);

/// What happens to the connection after an answer.
enum class AfterAnswer : std::uint8_t {
    KeepAlive,
    Close,
};

/// Formats the head as HTTP/1.1, with `Connection: close` if the connection is closed after the answer.
/// Precondition: content type and headers contain no control characters. Thread safety: any thread.
std::string formatHead(const AnswerHead& head, AfterAnswer after);

} // namespace Ibisturn
