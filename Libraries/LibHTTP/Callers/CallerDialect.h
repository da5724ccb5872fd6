#pragma once

#include <LibCore/Error.h>
#include <LibDecision/Placement/PlacementQuery.h>
#include <LibHTTP/Callers/AnswerFormat.h>

#include <optional>
#include <string>
#include <string_view>
#include <vector>

#include <boost/beast/http/fields.hpp>
#include <boost/beast/http/message.hpp>

namespace Ibisturn {

/// The fields of a caller's request head besides method, target and framing.
struct CallerHead {
    std::string callerId;
    std::string host;
    /// The timeout that the caller requests.
    std::optional<Duration> requestedTimeout;
    /// Digest of the caller's key.
    std::optional<KeyDigest> key;
    std::vector<PromptPart> prompt;
    std::optional<TokenCount> promptTokens;
    TokenCount maxAnswerTokens;
    /// The last event that the caller received of the stream that it resumes.
    std::optional<std::uint64_t> lastEventId;
    /// The attempt that brought the first event of the stream that the caller resumes, if the caller names one; empty if what it sent
    /// can't be the name of one attempt.
    std::optional<std::string> resumes;
    /// Headers to forward to the backend server.
    std::vector<HttpHeader> forwardedHeaders;
};

/// The HTTP conventions that a fleet's callers use with an instance.
/// Thread safety: all methods from any thread.
class CallerDialect {
public:
    using RequestFields = boost::beast::http::request_header<>;

    virtual ~CallerDialect() = default;

    /// Parses a request head. Throws Error with MalformedRequest.
    virtual CallerHead readHead(const RequestFields& head) const = 0;

    /// Formats the complete answer to a request that failed before any part of an answer was sent. `callerId` may be empty.
    virtual std::string formatFailure(const Error& error, std::string_view callerId, AfterAnswer after) const = 0;
};

} // namespace Ibisturn
