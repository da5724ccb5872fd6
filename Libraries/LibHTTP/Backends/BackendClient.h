#pragma once

#include <LibConfiguration/Records.h>
#include <LibHTTP/Requests/GatewayRequest.h>
#include <LibKernel/AnswerSink.h>

#include <map>
#include <memory>
#include <vector>

#include <boost/beast/core/flat_buffer.hpp>
#include <boost/beast/core/tcp_stream.hpp>

namespace Ibisturn {

/// Sends requests to backend servers and passes their answers on. It never repeats a request.
/// Thread safety: the worker that owns it.
class BackendClient {
public:
    /// `connectTimeout` bounds a new connection, `silenceTimeout` the wait for the next part of an answer.
    BackendClient(Duration connectTimeout, Duration silenceTimeout);

    /// Runs `request` on `server` and writes its answer to `sink`. Throws Error, whose ran() says whether
    /// the request may have reached the backend server.
    Task<void> run(const BackendServer& server, const GatewayRequest& request, Repeatability repeatability, AnswerSink& sink);

private:
    struct Connection {
        boost::beast::tcp_stream stream;
        boost::beast::flat_buffer buffer;
    };
    using ConnectionPointer = std::unique_ptr<Connection>;

    Task<ConnectionPointer> connect(Endpoint endpoint);
    ConnectionPointer takeIdle(const Endpoint& endpoint);
    void keepIdle(const Endpoint& endpoint, ConnectionPointer connection);
    Task<void> exchange(Connection& connection, const BackendServer& server, const GatewayRequest& request, AnswerSink& sink);

    Duration connectTimeout_;
    Duration silenceTimeout_;
    std::map<Endpoint, std::vector<ConnectionPointer>> idle_;
};

} // namespace Ibisturn
