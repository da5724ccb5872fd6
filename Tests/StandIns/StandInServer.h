#pragma once

#include <LibConfiguration/Settings.h>
#include <LibKernel/Asio.h>
#include <LibKernel/HttpHeader.h>

#include <functional>
#include <memory>
#include <string>
#include <string_view>
#include <utility>
#include <vector>

#include <boost/beast/core.hpp>
#include <boost/beast/http.hpp>

namespace Ibisturn::StandIns {

using HttpRequest = boost::beast::http::request<boost::beast::http::string_body>;

/// Writes the answer to one request of a stand-in. Thread safety: the connection's thread.
class Responder {
public:
    explicit Responder(Asio::ip::tcp::socket& socket);

    /// Adds a header to the answer. Precondition: nothing was sent yet.
    void addHeader(std::string name, std::string value) { headers_.push_back({ std::move(name), std::move(value) }); }

    /// Sends a whole answer.
    void send(unsigned status, const std::string& contentType, const std::string& body);

    /// Begins a chunked answer.
    void begin(const std::string& contentType);

    /// Sends a part of a chunked answer; false if the reader is gone.
    bool part(std::string_view bytes);

    /// Ends a chunked answer.
    void end();

    /// Cuts the connection without an answer.
    void cut();

    /// Whether the other side has closed its connection.
    bool isGone();

private:
    Asio::ip::tcp::socket& socket_;
    std::vector<HttpHeader> headers_;
};

using Handler = std::function<void(const HttpRequest&, Responder&)>;

/// A small HTTP server with a thread for each connection. Thread safety: one thread.
class StandInServer {
public:
    /// Listens on `endpoint`; port 0 takes any free port. The handler runs on many threads.
    StandInServer(const Endpoint& endpoint, Handler handler);

    /// Where it listens.
    Endpoint endpoint() const;

    /// Serves until the process ends.
    [[noreturn]] void run();

private:
    Asio::io_context context_;
    Asio::ip::tcp::acceptor acceptor_;
    Handler handler_;
};

} // namespace Ibisturn::StandIns
