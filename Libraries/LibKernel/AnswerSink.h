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
    /// Whether this answer, if truncated, can be resumed on another backend server.
    ResumeSupport resume { ResumeSupport::Unsupported };
    /// Whether the backend server reports that it accepts no more requests: status 503 with `Connection: close`.
    bool isServerDraining { false };
    /// Additional headers for the caller.
    std::vector<HttpHeader> headers;
    /// The total size of all parts in bytes, if known in advance.
    std::optional<std::uint64_t> contentLength;
    /// The software version of the backend server, for the instance that the caller called; empty if it is not known. Callers don't get it.
    SoftwareVersion version;
};

/// Receives one answer in order: head, parts, end. writePart() completes once the part is passed to the network or
/// held in reserved memory, so a slow reader applies backpressure to the writer once that is used up. The head may be buffered until the first part.
/// Thread safety: one coroutine at a time.
class AnswerSink {
public:
    virtual ~AnswerSink() = default;

    /// Begins the answer. Precondition: nothing was written yet. Throws if the reader has disconnected.
    virtual Task<void> writeHead(const AnswerHead& head) = 0;

    /// Precondition: the head was written and the end was not. Throws if the reader has disconnected.
    virtual Task<void> writePart(std::string_view part) = 0;

    /// Completes the answer. Precondition: the head was written.
    virtual Task<void> writeEnd() = 0;
};

} // namespace Ibisturn
