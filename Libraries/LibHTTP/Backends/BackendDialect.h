#pragma once

#include <LibConfiguration/Records.h>
#include <LibDecision/Placement/PlacementTable.h>
#include <LibHTTP/Requests/GatewayRequest.h>

#include <optional>

#include <boost/beast/http/fields.hpp>
#include <boost/beast/http/message.hpp>
#include <boost/beast/http/string_body.hpp>

namespace Ibisturn {

/// What the head of a backend server's answer says of the request that it should belong to.
enum class AnswerMeaning : std::uint8_t {
    /// It is the answer.
    Answer,
    /// The backend server has no room or leaves, and did not run the request.
    Refused,
    /// Another backend server has the address, and did not run the request.
    WrongServer,
    /// It answers another request.
    Stray,
    /// It is not what a sound backend server says; the request may have run.
    Unsound,
};

/// What the head of an answer tells.
struct AnswerReading {
    AnswerMeaning meaning { AnswerMeaning::Answer };
    /// Headers for the caller.
    std::vector<HttpHeader> headers;
    std::optional<ServerLoad> load;
    /// How long the connection may stay idle before the backend server closes it.
    std::optional<Duration> idleTimeout;
    /// Whether a stream that ends without its terminal event is cut.
    bool needsTerminalEvent { false };
};

/// How requests and answers look between instances and one kind of backend servers.
/// Thread safety: all methods from any thread.
class BackendDialect {
public:
    using Request = boost::beast::http::request<boost::beast::http::string_body>;
    using AnswerFields = boost::beast::http::response_header<>;

    virtual ~BackendDialect() = default;

    /// The message that takes `request` to `server`.
    virtual Request makeRequest(const BackendServer& server, const GatewayRequest& request, TimePoint now) const = 0;

    /// Reads the head of an answer on a connection to which `request` was written.
    virtual AnswerReading readAnswer(const AnswerFields& answer, const GatewayRequest& request) const = 0;
};

/// The dialect of engines with the OpenAI API and of plain services.
const BackendDialect& openAiBackendDialect();

} // namespace Ibisturn
