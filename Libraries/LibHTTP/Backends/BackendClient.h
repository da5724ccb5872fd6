#pragma once

#include <LibConfiguration/Records.h>
#include <LibHTTP/Backends/BackendDialect.h>
#include <LibHTTP/Requests/GatewayRequest.h>
#include <LibKernel/AnswerSink.h>

#include <map>
#include <memory>
#include <vector>

#include <boost/beast/core/flat_buffer.hpp>
#include <boost/beast/core/tcp_stream.hpp>
#include <boost/beast/http/buffer_body.hpp>
#include <boost/beast/http/parser.hpp>

namespace Ibisturn {

/// The backend server reported that it did not run the request.
class NotRunError final : public Error {
public:
    using Error::Error;
};

/// The connection was lost before the answer was complete, as it is when a backend server crashes.
class ConnectionLostError final : public Error {
public:
    using Error::Error;
};

/// Sends requests to backend servers and relays their answers. It never repeats a request.
/// Thread safety: the worker that owns it.
class BackendClient {
public:
    using HeadCallback = std::function<void(const BackendServerId&, const AnswerHeadInfo&)>;

    struct Limits {
        /// Limits the time to establish a connection.
        Duration connectTimeout;
        /// Limits the wait for the next part of an answer.
        Duration silenceTimeout;
    };

    /// `onHead` is called with the head of each answer, also of one to another request.
    /// Precondition: `dialect` outlives the client.
    BackendClient(Limits limits, const BackendDialect& dialect, HeadCallback onHead = nullptr);

    /// Runs `request` on `server` and writes its answer to `sink`. Throws Error, whose ran() says whether the request may have
    /// reached the backend server, NotRunError if the backend server reports that it did not run the request, and
    /// ConnectionLostError.
    Task<void> run(const BackendServer& server, const GatewayRequest& request, Repeatability repeatability, AnswerSink& sink);

private:
    struct Connection {
        boost::beast::tcp_stream stream;
        boost::beast::flat_buffer buffer;
        /// The backend server is not expected to close the connection before this time.
        TimePoint trustedUntil {};
        /// Whether an earlier request was sent on it.
        bool isReused { false };
    };
    using ConnectionPointer = std::unique_ptr<Connection>;

    Task<ConnectionPointer> connect(Endpoint endpoint, TimePoint deadline);
    ConnectionPointer takeIdle(const Endpoint& endpoint, Repeatability repeatability);
    void keepIdle(const Endpoint& endpoint, ConnectionPointer connection);
    using AnswerParser = boost::beast::http::response_parser<boost::beast::http::buffer_body>;

    Task<void> exchange(Connection& connection, const BackendServer& server, const GatewayRequest& request, AnswerSink& sink);
    Task<void> readHead(Connection& connection, AnswerParser& parser);
    Task<void> relayAnswer(Connection& connection, const BackendServer& server, AnswerParser& parser, const AnswerHeadInfo& headInfo, AnswerSink& sink);

    Limits limits_;
    const BackendDialect& dialect_;
    HeadCallback onHead_;
    std::map<Endpoint, std::vector<ConnectionPointer>> idle_;
};

} // namespace Ibisturn
