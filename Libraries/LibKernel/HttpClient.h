#pragma once

#include <LibConfiguration/Settings.h>
#include <LibKernel/Asio.h>
#include <LibKernel/HttpHeader.h>

#include <functional>
#include <string>
#include <vector>

namespace Ibisturn {

/// One HTTP call of control traffic; request data takes another path.
struct HttpCall {
    Endpoint endpoint;
    std::string method { "GET" };
    std::string target { "/" };
    std::vector<HttpHeader> headers;
    std::string body;
    Duration timeout { std::chrono::seconds(5) };
};

struct HttpReply {
    unsigned status { 0 };
    std::string body;
};

/// Makes one call on a connection of its own; never repeats it.
/// Throws boost::system::system_error. Thread safety: the worker that runs the coroutine.
Task<HttpReply> exchangeHttp(HttpCall call);

/// Makes one call and passes each line of its answer to `onLine` until the answer ends. The timeout
/// applies to the silence between parts. Throws boost::system::system_error.
/// Thread safety: the worker that runs the coroutine.
Task<void> readHttpLines(HttpCall call, std::function<void(std::string_view)> onLine);

} // namespace Ibisturn
