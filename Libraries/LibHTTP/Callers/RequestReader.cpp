#include <LibHTTP/Callers/RequestReader.h>

#include <LibKernel/HttpLimits.h>

#include <algorithm>

namespace Ibisturn {

namespace Http = boost::beast::http;

std::optional<RequestReader::Scope> RequestReader::beginRequest(const Limits& limits)
{
    if (!std::exchange(isAtRequest_, false))
        return std::nullopt;
    parser_.emplace();
    parser_->header_limit(limits.head);
    parser_->body_limit(limits.body);
    // The limit may be lowered while a pipelined request waits in the buffer.
    buffer_.max_size(std::max(buffer_.size(), receiveBufferLimit(limits.head)));
    return std::optional<Scope>(std::in_place, *this);
}

void RequestReader::endRequest()
{
    isAtRequest_ = canKeepAlive();
    parser_.reset();
}

std::optional<std::uint64_t> RequestReader::contentLength() const
{
    const auto length = parser_->content_length();
    return length ? std::optional(*length) : std::nullopt;
}

void RequestReader::shrinkBuffer()
{
    if (buffer_.size() == 0 && buffer_.capacity() > firstRead)
        buffer_.shrink_to_fit();
}

void RequestReader::parseArrivedHead()
{
    if (parser_ && !hasHead())
        parse();
}

boost::system::error_code RequestReader::parse()
{
    if (failure_)
        return failure_;
    boost::system::error_code error = Http::error::need_more;
    if (buffer_.size() > 0)
        buffer_.consume(parser_->put(buffer_.data(), error));
    return error == Http::error::need_more ? error : fail(error);
}

boost::system::error_code RequestReader::fail(boost::system::error_code error)
{
    failure_ = error;
    return error;
}

boost::system::error_code RequestReader::endOfInput()
{
    boost::system::error_code error = Http::error::end_of_stream;
    if (parser_->got_some())
        parser_->put_eof(error);
    return error;
}

std::size_t RequestReader::nextReadSize() const
{
    constexpr std::size_t minReadSize = 512;
    constexpr std::size_t maxReadSize = 64UL * 1024;
    const auto wanted = std::clamp(buffer_.capacity() - buffer_.size(), minReadSize, maxReadSize);
    return std::min(wanted, buffer_.max_size() - buffer_.size());
}

std::size_t RequestReader::capacityFor(std::size_t readSize) const
{
    const auto needed = buffer_.size() + readSize;
    return needed <= buffer_.capacity() ? buffer_.capacity() : std::min(buffer_.max_size(), std::max(2 * buffer_.size(), needed));
}

void RequestReader::throwBodyError(const boost::system::error_code& error)
{
    if (error == Http::error::body_limit)
        throw Error(ResultCode::BodyTooLarge, Ran::No, "The request's body exceeds the limit");
    if (error == boost::beast::error::timeout)
        throw Error(ResultCode::RequestReadTimeout, Ran::No, "The request's body did not arrive in time");
    if (error)
        throw Error(ResultCode::MalformedRequest, Ran::No, "The request's body is not valid HTTP");
}

} // namespace Ibisturn
