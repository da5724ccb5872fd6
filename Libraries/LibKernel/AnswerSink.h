#pragma once

#include <LibConfiguration/Records.h>
#include <LibKernel/Asio.h>
#include <LibKernel/HttpHeader.h>

#include <optional>
#include <string>
#include <string_view>
#include <vector>

namespace Ibisturn {

/// The head of a backend server's answer.
struct AnswerHead {
    unsigned status { 0 };
    std::string contentType;
    /// Whether a cut of this answer can be resumed elsewhere.
    ResumeSupport resume { ResumeSupport::Unsupported };
    /// Whether the backend server says that it takes no more requests: status 503 with `Connection: close`.
    bool isServerLeaving { false };
    /// Further headers for the caller.
    std::vector<HttpHeader> headers;
    /// The bytes of all parts, if they are known beforehand.
    std::optional<std::uint64_t> contentLength;
};

/// Takes one answer in order: a head, parts, an end. Each part's call returns once the part is handed to the
/// network, so a slow reader slows the one who writes. The head may wait for the first part.
/// Thread safety: one coroutine at a time.
class AnswerSink {
public:
    virtual ~AnswerSink() = default;

    /// Begins the answer. Precondition: nothing was written yet. Throws if the reader is gone.
    virtual Task<void> writeHead(const AnswerHead& head) = 0;

    /// Precondition: the head was written and the end was not. Throws if the reader is gone.
    virtual Task<void> writePart(std::string_view part) = 0;

    /// Ends a whole answer. Precondition: the head was written.
    virtual Task<void> writeEnd() = 0;
};

} // namespace Ibisturn
