#pragma once

#include <LibCore/Clock.h>
#include <LibKernel/Asio.h>

#include <functional>
#include <string>

#include <boost/beast/http.hpp>

namespace Ibisturn {

using ShortRequest = boost::beast::http::request<boost::beast::http::string_body>;

struct ShortReply {
    unsigned status { 200 };
    std::string contentType { "application/json" };
    std::string body;
};

/// What a connection of short requests may take.
struct ShortRequestLimits {
    Duration idleTimeout {};
    std::uint32_t head { 0 };
    std::uint64_t body { 0 };
};

/// Answers one request after the other on a connection until the other side ends it, is silent for too long, or sends what
/// can't be read. Thread safety: the worker of the socket.
Task<void> serveShortRequests(Asio::ip::tcp::socket socket, ShortRequestLimits limits, std::function<Task<ShortReply>(const ShortRequest&)> answer);

} // namespace Ibisturn
