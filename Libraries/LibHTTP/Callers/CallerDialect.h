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

/// What the head of a caller's request tells besides method, target and framing.
struct CallerHead {
    std::string callerId;
    std::string host;
    /// How long the caller waits.
    std::optional<Duration> patience;
    /// Digest of the caller's key.
    std::optional<KeyDigest> key;
    std::vector<PromptPart> prompt;
    std::optional<TokenCount> promptTokens;
    TokenCount mostAnswerTokens;
    /// The last event that the caller has of a stream that it resumes.
    std::optional<std::uint64_t> lastEvent;
    /// Headers for the backend server.
    std::vector<HttpHeader> passedOn;
};

/// How callers of a fleet speak HTTP to an instance.
/// Thread safety: all methods from any thread.
class CallerDialect {
public:
    using RequestFields = boost::beast::http::request_header<>;

    virtual ~CallerDialect() = default;

    /// Reads a head. Throws Error with MalformedRequest.
    virtual CallerHead readHead(const RequestFields& head) const = 0;

    /// The whole answer to a request that failed before anything was shown of an answer. `callerId` may be empty.
    virtual std::string formatFailure(const Error& error, std::string_view callerId, AfterAnswer after) const = 0;
};

} // namespace Ibisturn
