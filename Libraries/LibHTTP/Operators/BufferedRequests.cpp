#include <LibHTTP/Operators/BufferedRequests.h>

#include <LibCore/Log.h>
#include <LibHTTP/Callers/ErrorBody.h>
#include <LibHTTP/Callers/RequestReader.h>
#include <LibHTTP/Requests/RequestMemory.h>
#include <LibKernel/GracefulClose.h>

#include <algorithm>
#include <array>
#include <optional>
#include <utility>

#include <boost/beast/core.hpp>

namespace Ibisturn {

namespace Beast = boost::beast;
namespace Http = boost::beast::http;

namespace {

constexpr Log requestLog("request", LineKind::Request);
constexpr int httpVersion11 = 11;

/// What one request holds of the memory for all connections.
class RequestBytes {
public:
    explicit RequestBytes(const MemoryBudget* budget)
        : isCounted_(budget)
        , reservation_(budget ? budget->open() : MemoryBudget::Reservation())
    {
    }

    bool growBufferTo(std::size_t capacity)
    {
        buffer_ = capacity;
        return grow();
    }

    bool growFieldsTo(std::uint64_t bytes)
    {
        fields_ = bytes;
        return grow();
    }

private:
    bool grow() { return !isCounted_ || reservation_.growTo(ByteCount(costOfConnection.count() + buffer_ + fields_)); }

    bool isCounted_;
    MemoryBudget::Reservation reservation_;
    std::uint64_t buffer_ { 0 };
    std::uint64_t fields_ { 0 };
};

Task<void> awaitRequest(Beast::tcp_stream& stream, RequestReader& reader, IdleConnections* idle, boost::system::error_code& error)
{
    reader.shrinkBuffer();
    std::optional<IdleConnections::Scope> scope;
    if (idle)
        scope.emplace(*idle, stream.socket());
    co_await reader.awaitFirstByte(stream, error);
}

Task<void> readRequest(Beast::tcp_stream& stream, RequestReader& reader, RequestBytes& bytes, boost::system::error_code& error)
{
    const RequestReader::BeforeRead reserveBuffer = [&bytes](std::size_t capacity) {
        if (!bytes.growBufferTo(capacity))
            throw Error(ResultCode::MemoryUsedUp, Ran::No, "Connections hold as many bytes as the instance's memory allows");
    };
    reader.setFieldReservation([&bytes](std::uint64_t size) { return bytes.growFieldsTo(size); });
    co_await reader.readHead(stream, error, reserveBuffer);
    const RequestReader::BeforePart nothing;
    if (!error)
        co_await reader.readRest(stream, error, reserveBuffer, nothing);
}

Task<void> write(Beast::tcp_stream& stream, BufferedReply reply, AfterRequest after, boost::system::error_code& error)
{
    Http::response<Http::string_body> response(static_cast<Http::status>(reply.status), httpVersion11);
    response.set(Http::field::content_type, reply.contentType);
    response.keep_alive(after == AfterRequest::KeepAlive);
    response.body() = std::move(reply.body);
    response.prepare_payload();
    co_await Http::async_write(stream, response, Asio::redirect_error(Asio::use_awaitable, error));
}

/// Whether `error` is about what was received, and not about its size or the connection.
bool isMalformed(const boost::system::error_code& error)
{
    constexpr auto others = std::to_array<Http::error>({ Http::error::end_of_stream, Http::error::partial_message, Http::error::buffer_overflow, Http::error::header_limit, Http::error::body_limit });
    return error.category() == make_error_code(Http::error::bad_value).category() && std::find(others.begin(), others.end(), error) == others.end();
}

Task<void> refuse(Beast::tcp_stream& stream, const boost::system::error_code& reason)
{
    requestLog.info("Request refused.", { { "code", resultCodeEntry(ResultCode::MalformedRequest).name }, { "reason", reason.message() } });
    const Error refusal(ResultCode::MalformedRequest, Ran::No, "The request is not valid HTTP");
    boost::system::error_code error;
    BufferedReply reply { resultCodeEntry(refusal.code()).httpStatus, "application/json", formatErrorBody(refusal) };
    co_await write(stream, std::move(reply), AfterRequest::Close, error);
    co_await closeGracefully(stream, PendingInput::Discard);
}

} // namespace

Task<void> serveBufferedRequests(Asio::ip::tcp::socket socket, BufferedRequestLimits limits, std::function<Task<BufferedReply>(const BufferedRequest&)> answer)
{
    Beast::tcp_stream stream(std::move(socket));
    RequestReader reader;
    for (bool isOpen = true; isOpen;) {
        RequestBytes bytes(limits.memory);
        const auto reading = reader.beginRequest({ limits.head, limits.body });
        if (!reading)
            co_return;
        stream.expires_after(limits.idleTimeout);
        boost::system::error_code error;
        co_await awaitRequest(stream, reader, limits.idle, error);
        if (error)
            co_return;
        co_await readRequest(stream, reader, bytes, error);
        if (isMalformed(error))
            co_return co_await refuse(stream, error);
        if (error)
            co_return;
        BufferedReply reply = co_await answer(reader.request());
        co_await write(stream, std::move(reply), reader.canKeepAlive() ? AfterRequest::KeepAlive : AfterRequest::Close, error);
        isOpen = !error;
    }
}

} // namespace Ibisturn
