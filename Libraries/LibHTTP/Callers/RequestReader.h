#pragma once

#include <LibCore/Error.h>
#include <LibHTTP/Callers/CallerParser.h>
#include <LibKernel/Asio.h>

#include <functional>
#include <optional>
#include <string>
#include <utility>

#include <boost/beast/core.hpp>
#include <boost/beast/http.hpp>

namespace Ibisturn {

/// What happens to the connection after a request.
enum class AfterRequest : std::uint8_t {
    KeepAlive,
    Close,
};

/// Reads the requests that arrive on one connection, one after the other. Bytes leave its buffer as they are parsed, each once, and the
/// next request begins only where the one before was parsed to its end. So it alone knows whether the connection can go on.
/// Thread safety: the worker of the connection.
class RequestReader {
public:
    struct Limits {
        /// Bytes of a head.
        std::uint32_t head { 0 };
        /// Bytes of a body.
        std::uint64_t body { 0 };
    };
    /// Called with the capacity that the buffer has after the next read, before each one; what it throws ends the reading.
    using BeforeRead = std::function<void(std::size_t)>;
    /// Called before each part of a body; what it throws ends the reading.
    using BeforePart = std::function<void()>;
    using Request = boost::beast::http::request<boost::beast::http::string_body>;

    /// The current request, which ends with it. Precondition: the reader outlives it. Thread safety: the worker of the connection.
    class Scope {
    public:
        explicit Scope(RequestReader& reader)
            : reader_(&reader)
        {
        }

        ~Scope()
        {
            if (reader_)
                reader_->endRequest();
        }

        Scope(Scope&& other) noexcept
            : reader_(std::exchange(other.reader_, nullptr))
        {
        }

        Scope(const Scope&) = delete;
        Scope& operator=(const Scope&) = delete;
        Scope& operator=(Scope&&) = delete;

    private:
        RequestReader* reader_;
    };

    /// Begins the next request. Empty if the bytes that follow are not known to begin one, or the caller wants the connection to end:
    /// nothing more is parsed then. Precondition: the one before has ended.
    std::optional<Scope> beginRequest(const Limits& limits);

    /// Sets the limit of the current request's body. Precondition: a request has begun, and its body was not read.
    void setBodyLimit(std::uint64_t bytes) { parser_->body_limit(bytes); }

    /// See CallerParser. Precondition: a request has begun.
    void setFieldReservation(std::function<bool(std::uint64_t)> reserve) { parser_->setFieldReservation(std::move(reserve)); }

    /// The current request. Precondition: hasHead().
    const Request& request() const { return parser_->get(); }

    /// The body of the current request, as far as it was read; it may be moved away. Precondition: hasHead().
    std::string& body() { return parser_->get().body(); }

    /// The length of the current request's body, if its head has it. Precondition: hasHead().
    std::optional<std::uint64_t> contentLength() const;

    /// Whether the head of the current request was parsed. Its fields say which request it is, even if it is malformed.
    bool hasHead() const { return parser_ && parser_->is_header_done(); }

    /// Whether the current request was parsed to its end, so that the next byte is the first one behind it.
    bool isConsumed() const { return parser_ && !failure_ && parser_->is_done(); }

    /// Whether another request may follow on the connection.
    bool canKeepAlive() const { return isConsumed() && parser_->keep_alive(); }

    /// The bytes that were received and not parsed.
    std::size_t bufferedBytes() const { return buffer_.size(); }
    std::size_t bufferCapacity() const { return buffer_.capacity(); }

    /// Releases what an empty buffer has beyond the first read.
    void shrinkBuffer();

    /// Waits for the first byte of the current request, so that a connection can count as idle until then.
    /// Precondition: a request has begun, and the stream's timeout is set.
    template <typename Stream>
    Task<void> awaitFirstByte(Stream& stream, boost::system::error_code& error)
    {
        if (buffer_.size() > 0)
            co_return;
        const auto count = co_await stream.async_read_some(buffer_.prepare(firstRead), Asio::redirect_error(Asio::use_awaitable, error));
        buffer_.commit(count);
        failure_ = error;
    }

    /// Reads the head of the current request. Precondition: as above.
    template <typename Stream>
    Task<void> readHead(Stream& stream, boost::system::error_code& error, BeforeRead beforeRead = nullptr)
    {
        while (!hasHead() && !error)
            co_await readSome(stream, error, beforeRead);
    }

    /// Parses as much of the head as has arrived.
    void parseArrivedHead();

    /// Reads the rest of the current request; the callbacks may be empty. Precondition: hasHead(), and the stream's timeout is set.
    template <typename Stream>
    Task<void> readRest(Stream& stream, boost::system::error_code& error, const BeforeRead& beforeRead, const BeforePart& beforePart)
    {
        parser_->eager(true);
        while (!isConsumed() && !error) {
            if (beforePart)
                beforePart();
            co_await readSome(stream, error, beforeRead);
        }
    }

    /// The same, but sends `100 Continue` first if the caller expects it, and throws Error if the body is too large, late or malformed.
    template <typename Stream>
    Task<void> readBody(Stream& stream, BeforeRead beforeRead = nullptr, BeforePart beforePart = nullptr)
    {
        namespace Http = boost::beast::http;
        constexpr unsigned httpVersion11 = 11;
        boost::system::error_code error;
        if (boost::beast::iequals(request()[Http::field::expect], "100-continue")) {
            const Http::response<Http::empty_body> proceed(Http::status::continue_, httpVersion11);
            co_await Http::async_write(stream, proceed, Asio::redirect_error(Asio::use_awaitable, error));
        }
        if (!error)
            co_await readRest(stream, error, beforeRead, beforePart);
        throwBodyError(error);
    }

    /// The bytes that an idle connection may hold.
    static constexpr std::size_t firstRead = 4096;

private:
    /// Parses what has arrived, and reads until the parser could use some of it.
    template <typename Stream>
    Task<void> readSome(Stream& stream, boost::system::error_code& error, const BeforeRead& beforeRead)
    {
        namespace Http = boost::beast::http;
        error = parse();
        while (error == Http::error::need_more) {
            const auto size = nextReadSize();
            if (size == 0) {
                error = fail(Http::error::buffer_overflow);
                co_return;
            }
            if (beforeRead)
                beforeRead(capacityFor(size));
            const auto count = co_await stream.async_read_some(buffer_.prepare(size), Asio::redirect_error(Asio::use_awaitable, error));
            buffer_.commit(count);
            if (error)
                error = fail(error == Asio::error::eof ? endOfInput() : error);
            else
                error = parse();
        }
    }

    void endRequest();
    boost::system::error_code parse();
    boost::system::error_code fail(boost::system::error_code error);
    boost::system::error_code endOfInput();
    std::size_t nextReadSize() const;
    std::size_t capacityFor(std::size_t readSize) const;
    static void throwBodyError(const boost::system::error_code& error);

    boost::beast::flat_buffer buffer_;
    /// Of the current request.
    std::optional<CallerParser> parser_;
    /// Why the current request can't be read to its end.
    boost::system::error_code failure_;
    /// Whether the next byte is the first one of a request.
    bool isAtRequest_ { true };
};

} // namespace Ibisturn
