#pragma once

#include <LibCore/Clock.h>
#include <LibDecision/Admission/MemoryBudget.h>
#include <LibHTTP/Callers/IdleConnections.h>
#include <LibKernel/Asio.h>

#include <functional>
#include <string>

#include <boost/beast/http.hpp>

namespace Ibisturn {

using BufferedRequest = boost::beast::http::request<boost::beast::http::string_body>;

struct BufferedReply {
    unsigned status { 200 };
    std::string contentType { "application/json" };
    std::string body;
};

/// Limits of one connection; sizes are in bytes.
struct BufferedRequestLimits {
    Duration idleTimeout {};
    std::uint32_t head { 0 };
    std::uint64_t body { 0 };
    /// For the bytes and fields of requests on all connections; without it, they are not counted.
    const MemoryBudget* memory { nullptr };
    /// Where the connection is registered while it waits for a request; may be null.
    IdleConnections* idle { nullptr };
};

/// Answers requests on a connection one after the other, each read completely into memory, until the client closes it, the
/// idle timeout expires, memory is used up, or a request can't be parsed. Thread safety: the worker of the socket.
Task<void> serveBufferedRequests(Asio::ip::tcp::socket socket, BufferedRequestLimits limits, std::function<Task<BufferedReply>(const BufferedRequest&)> answer);

} // namespace Ibisturn
