#include "HttpCaller.h"

#include <LibHTTP/Backends/AnswerCompleteness.h>
#include <LibKernel/Asio.h>

#include <array>
#include <limits>
#include <sys/socket.h>
#include <utility>

#include <boost/beast/core.hpp>
#include <boost/beast/http.hpp>

namespace Ibisturn::Scenarios {

namespace Http = boost::beast::http;

namespace {

constexpr int httpVersion11 = 11;
constexpr std::size_t readBufferBytes = 4096;
constexpr auto callTimeout = std::chrono::seconds(10);

} // namespace

bool CallerAnswer::isWhole() const
{
    const bool isStream = body.starts_with("data: ") || body.starts_with("id: ");
    AnswerCompleteness completeness(isStream ? "text/event-stream" : "");
    completeness.add(body);
    return isComplete && completeness.isComplete();
}

HttpCaller::HttpCaller(CallerRequest request)
    : thread_([this, request = std::move(request)] { run(request); })
{
}

HttpCaller::~HttpCaller()
{
    {
        const std::scoped_lock lock(mutex_);
        if (socket_ >= 0)
            ::shutdown(socket_, SHUT_RDWR);
    }
    thread_.join();
}

bool HttpCaller::awaitPart(const std::string& text, std::chrono::milliseconds within)
{
    std::unique_lock lock(mutex_);
    const auto holds = [&] { return answer_.body.find(text) != std::string::npos; };
    changed_.wait_for(lock, within, [&] { return holds() || answer_.isEnded; });
    return holds();
}

CallerAnswer HttpCaller::awaitEnd(std::chrono::milliseconds within)
{
    std::unique_lock lock(mutex_);
    changed_.wait_for(lock, within, [this] { return answer_.isEnded; });
    return answer_;
}

void HttpCaller::run(const CallerRequest& request)
{
    try {
        exchange(request);
    } catch (const boost::system::system_error&) {
        // The answer is what has been received so far.
    }
    const std::scoped_lock lock(mutex_);
    socket_ = -1;
    answer_.isEnded = true;
    changed_.notify_all();
}

void HttpCaller::exchange(const CallerRequest& request)
{
    Asio::io_context context(1);
    Asio::ip::tcp::socket socket(context);
    socket.connect({ Asio::ip::make_address(request.endpoint.address), request.endpoint.port });
    {
        const std::scoped_lock lock(mutex_);
        socket_ = socket.native_handle();
    }
    Http::request<Http::string_body> message(Http::string_to_verb(request.method), request.target, httpVersion11);
    message.set(Http::field::host, request.endpoint.toString());
    message.set(Http::field::content_type, "application/json");
    for (const auto& header : request.headers)
        message.set(header.name, header.value);
    message.body() = request.body;
    message.prepare_payload();
    Http::write(socket, message);
    boost::beast::flat_buffer buffer;
    Http::response_parser<Http::buffer_body> parser;
    parser.body_limit(std::numeric_limits<std::uint64_t>::max());
    Http::read_header(socket, buffer, parser);
    std::array<char, readBufferBytes> part {};
    boost::system::error_code error;
    while (!error) {
        parser.get().body().data = part.data();
        parser.get().body().size = part.size();
        if (!parser.is_done())
            Http::read_some(socket, buffer, parser, error);
        if (error == Http::error::need_buffer)
            error = {};
        const std::scoped_lock lock(mutex_);
        answer_.status = parser.get().result_int();
        answer_.body.append(part.data(), part.size() - parser.get().body().size);
        answer_.isComplete = parser.is_done();
        changed_.notify_all();
        if (parser.is_done())
            return;
    }
}

CallerAnswer call(const CallerRequest& request)
{
    HttpCaller caller(request);
    return caller.awaitEnd(callTimeout);
}

} // namespace Ibisturn::Scenarios
