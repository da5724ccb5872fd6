#pragma once

#include <LibConfiguration/Records.h>
#include <LibDecision/Placement/PlacementTable.h>
#include <LibHTTP/Requests/GatewayRequest.h>

#include <optional>

#include <boost/beast/http/fields.hpp>
#include <boost/beast/http/message.hpp>
#include <boost/beast/http/span_body.hpp>

namespace Ibisturn {

/// How the head of a backend server's answer relates to the request that was sent.
enum class AnswerKind : std::uint8_t {
    /// It is the answer to the request.
    Answer,
    /// The backend server has no capacity or is draining, and did not run the request.
    Refused,
    /// Another backend server now has the address. It did not run the request.
    WrongServer,
    /// It is the answer to another request.
    Stray,
    /// It is invalid; the request may have run.
    Invalid,
};

/// The information read from the head of an answer.
struct AnswerHeadInfo {
    AnswerKind kind { AnswerKind::Answer };
    /// Whether the answer names the request, so that it can't be one to an earlier request on the connection.
    bool namesRequest { false };
    /// Headers for the caller.
    std::vector<HttpHeader> headers;
    std::optional<ServerLoad> load;
    /// Whether the backend server announces that it is leaving.
    bool isServerLeaving { false };
    /// For how long a backend server that refused the request wants none from this instance.
    std::optional<Duration> retryAfter;
    /// How long the connection may stay idle before the backend server closes it.
    std::optional<Duration> idleTimeout;
    /// Whether a stream that ends without its terminal event counts as truncated.
    bool needsTerminalEvent { false };
};

/// Encodes requests for one kind of backend servers and reads the heads of their answers.
/// Thread safety: all methods from any thread.
class BackendDialect {
public:
    using Request = boost::beast::http::request<boost::beast::http::span_body<const char>>;
    using AnswerFields = boost::beast::http::response_header<>;

    virtual ~BackendDialect() = default;

    /// Makes the HTTP message that carries `request` to `server`. Its body refers to that of `request`, which must outlive it.
    virtual Request makeRequest(const BackendServer& server, const GatewayRequest& request, TimePoint now) const = 0;

    /// The target of a GET request that asks a backend server which process it is; empty if such servers can't be asked.
    virtual std::string_view processTarget() const { return {}; }

    /// Reads the start time of the process from the answer's body; unset if it does not say.
    virtual std::optional<StartTime> readProcess(std::string_view /*body*/) const { return std::nullopt; }

    /// Reads the head of an answer on a connection to which `request` was written. Precondition: its status is one of HTTP, from 100
    /// to 599.
    virtual AnswerHeadInfo readAnswer(const AnswerFields& answer, const GatewayRequest& request) const = 0;
};

/// The dialect of engines with the OpenAI API and of plain services.
const BackendDialect& openAiBackendDialect();

} // namespace Ibisturn
