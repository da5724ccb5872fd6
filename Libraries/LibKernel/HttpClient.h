#pragma once

#include <LibConfiguration/Settings.h>
#include <LibKernel/Asio.h>
#include <LibKernel/HttpHeader.h>

#include <functional>
#include <string>
#include <string_view>
#include <vector>

namespace Ibisturn {

/// One HTTP call of control traffic; callers' requests do not use this client.
struct HttpCall {
    Endpoint endpoint;
    std::string method { "GET" };
    std::string target { "/" };
    std::vector<HttpHeader> headers;
    std::string body;
    /// Applies to everything up to the head of the answer, and then to each part of its body: a large body may take long over a slow link, but
    /// one that makes no progress fails.
    Duration timeout { std::chrono::seconds(5) };
    /// The largest body of a reply, and the longest line of an answer that is read by lines.
    ByteCount replyLimit { 16UL * 1024 * 1024 };
};

struct HttpReply {
    unsigned status { 0 };
    std::string body;
    std::vector<HttpHeader> headers {};

    /// The value of a header, whose name is compared without regard to case; empty if it is missing.
    std::string_view header(std::string_view name) const;
};

/// Makes one call on a new connection, without retries.
/// Throws boost::system::system_error, with body_limit or buffer_overflow if the reply is too large and with
/// bad_status if its status is not that of an answer. Thread safety: the worker that runs the coroutine.
Task<HttpReply> exchangeHttp(HttpCall call);

/// Makes one call and passes each line of its answer to `onLine` until the answer ends. Throws boost::system::system_error, with
/// body_limit or buffer_overflow if a line or a chunk header is too long and bad_status if the status is not that of an answer.
/// Thread safety: the worker that runs the coroutine.
Task<void> readHttpLines(HttpCall call, std::function<void(std::string_view)> onLine);

} // namespace Ibisturn
