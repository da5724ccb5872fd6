#pragma once

#include <LibCore/Clock.h>
#include <LibCore/Error.h>
#include <LibHTTP/Callers/AnswerFormat.h>

#include <array>
#include <atomic>
#include <string>

#include <boost/beast/core/stream_traits.hpp>

namespace Ibisturn {

/// Writes an answer to a caller. The head is sent with the first part, so that a short answer needs a single write.
/// Thread safety: one coroutine at a time, on the worker of the stream.
template <typename Stream>
class CallerSink final : public AnswerSink {
public:
    /// Each write times out after `timeout`. Precondition: `stream` and `isDraining` outlive the sink.
    CallerSink(Stream& stream, Duration timeout, const std::atomic<bool>& isDraining)
        : stream_(stream)
        , timeout_(timeout)
        , isDraining_(isDraining)
    {
    }

    /// Whether the caller may have received a part of the answer.
    bool hasStarted() const { return hasStarted_; }

    /// Whether the answer is an event stream.
    bool isEventStream() const { return isEventStream_; }

    Task<void> writeHead(const AnswerHead& head) override
    {
        isEventStream_ = head.contentType.starts_with("text/event-stream");
        framing_ = framingOf(head);
        pending_ = formatHead(head, isDraining_ ? AfterAnswer::Close : AfterAnswer::KeepAlive);
        co_return;
    }

    Task<void> writePart(std::string_view part) override
    {
        if (framing_ == AnswerFraming::NoBody)
            co_return;
        std::string_view ending;
        if (framing_ == AnswerFraming::Chunks) {
            fmt::format_to(std::back_inserter(pending_), "{:x}\r\n", part.size());
            ending = lineEnd;
        }
        co_await write(part, ending);
    }

    Task<void> writeEnd() override
    {
        const std::string_view last = framing_ == AnswerFraming::Chunks ? lastChunk : std::string_view();
        if (!pending_.empty() || !last.empty())
            co_await write(last, {});
    }

private:
    static constexpr std::string_view lineEnd = "\r\n";
    static constexpr std::string_view lastChunk = "0\r\n\r\n";

    Task<void> write(std::string_view part, std::string_view ending)
    {
        hasStarted_ = true;
        const std::array<Asio::const_buffer, 3> buffers { Asio::buffer(pending_), Asio::buffer(part), Asio::buffer(ending) };
        boost::beast::get_lowest_layer(stream_).expires_after(timeout_);
        boost::system::error_code error;
        co_await Asio::async_write(stream_, buffers, Asio::redirect_error(Asio::use_awaitable, error));
        if (error)
            throw Error(ResultCode::CallerGone, Ran::Unknown, "The answer could not be written to the caller");
        pending_.clear();
    }

    Stream& stream_;
    Duration timeout_;
    const std::atomic<bool>& isDraining_;
    /// Bytes to send before the next part.
    std::string pending_;
    AnswerFraming framing_ { AnswerFraming::Chunks };
    bool hasStarted_ { false };
    bool isEventStream_ { false };
};

} // namespace Ibisturn
