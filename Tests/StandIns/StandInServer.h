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

/// Writes the response to one request. Thread safety: the connection's thread.
class Responder {
public:
    explicit Responder(Asio::ip::tcp::socket& socket);

    /// Adds a header to the response. Precondition: nothing has been sent yet.
    void addHeader(std::string name, std::string value) { headers_.push_back({ std::move(name), std::move(value) }); }

    /// Sends a complete response.
    void send(unsigned status, const std::string& contentType, const std::string& body);

    /// Sends the header of a chunked response.
    void beginChunked(const std::string& contentType);

    /// Sends one chunk of a chunked response; returns false if the connection is closed.
    bool sendChunk(std::string_view bytes);

    /// Sends the last chunk of a chunked response.
    void endChunked();

    /// Closes the connection without completing the response.
    void disconnect();

    /// Whether the client has closed its connection.
    bool isDisconnected();

private:
    Asio::ip::tcp::socket& socket_;
    std::vector<HttpHeader> headers_;
};

using Handler = std::function<void(const HttpRequest&, Responder&)>;

/// A minimal HTTP server with one thread per connection. Thread safety: one thread.
class StandInServer {
public:
    /// Listens on `endpoint`; port 0 takes any free port. The handler is called from many threads at once.
    StandInServer(const Endpoint& endpoint, Handler handler);

    /// The endpoint on which the server listens.
    Endpoint endpoint() const;

    /// Serves until the process ends.
    [[noreturn]] void run();

private:
    Asio::io_context context_;
    Asio::ip::tcp::acceptor acceptor_;
    Handler handler_;
};

} // namespace Ibisturn::StandIns
