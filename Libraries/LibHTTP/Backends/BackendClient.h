#pragma once

#include <LibConfiguration/Records.h>
#include <LibHTTP/Backends/BackendDialect.h>
#include <LibHTTP/Backends/IdleConnectionPool.h>
#include <LibHTTP/Requests/GatewayRequest.h>
#include <LibKernel/AnswerParser.h>
#include <LibKernel/AnswerSink.h>

#include <functional>

#include <boost/beast/http/buffer_body.hpp>

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
    using EndpointCallback = std::function<void(const Endpoint&)>;

    struct Limits {
        /// Limits the time to establish a connection.
        Duration connectTimeout;
        /// Limits the wait for the next part of an answer.
        Duration silenceTimeout;
        /// Limits the connections that are kept while they have no request in flight.
        std::size_t idleConnections { 1024 };
    };

    /// `onHead` is called with the head of each answer, also of one to another request; `onClosedEarly` when a backend server closes
    /// an idle connection that it promised to keep open for longer. Precondition: `dialect` outlives the client.
    BackendClient(Limits limits, const BackendDialect& dialect, HeadCallback onHead = nullptr, EndpointCallback onClosedEarly = nullptr);

    /// Runs `request` on `server` and writes its answer to `sink`. Throws Error, whose ran() says whether the request may have
    /// reached the backend server, NotRunError if the backend server reports that it did not run the request, and
    /// ConnectionLostError.
    Task<void> run(const BackendServer& server, const GatewayRequest& request, Repeatability repeatability, AnswerSink& sink);

    /// Closes idle connections that were not used for long, and those to addresses that are no backend server's any more.
    void sweepIdle(TimePoint now, const std::function<bool(const Endpoint&)>& isUsed) { idle_.sweep(now, isUsed); }

private:
    using Connection = BackendConnection;
    using ConnectionPointer = BackendConnectionPointer;

    Task<ConnectionPointer> connect(Endpoint endpoint, TimePoint deadline);
    Task<ConnectionPointer> connectToKnownProcess(Endpoint endpoint, TimePoint deadline);
    enum class Identification : std::uint8_t {
        Done,
        /// The process is known, but the connection can't be used for requests.
        ConnectionUsedUp,
        /// The backend server does not say which process it is.
        NotTold,
    };
    /// Asks which process is at the other end of a new connection.
    Task<Identification> identify(Connection& connection, Endpoint endpoint, TimePoint deadline);
    using RelayParser = AnswerParser<boost::beast::http::buffer_body>;

    Task<void> exchange(Connection& connection, const BackendServer& server, const GatewayRequest& request, AnswerSink& sink);
    Task<void> readHead(Connection& connection, RelayParser& parser);
    Task<void> relayAnswer(Connection& connection, const BackendServer& server, RelayParser& parser, const AnswerHeadInfo& headInfo, AnswerSink& sink);

    Limits limits_;
    const BackendDialect& dialect_;
    HeadCallback onHead_;
    IdleConnectionPool idle_;
};

} // namespace Ibisturn
