#include <LibPeer/PeerConnection.h>

#include <LibKernel/GentleClose.h>

#include <array>
#include <random>
#include <utility>

namespace Ibisturn {

namespace {

Incarnation makeIncarnation()
{
    std::random_device device;
    return Incarnation((static_cast<std::uint64_t>(device()) << 32) | device());
}

} // namespace

PeerConnection::PeerConnection(boost::beast::tcp_stream stream, ByteCount frameLimit)
    : stream_(std::move(stream))
    , frameLimit_(frameLimit.count())
    , ownIncarnation_(makeIncarnation())
{
    boost::system::error_code ignored;
    stream_.socket().set_option(Asio::ip::tcp::no_delay(true), ignored);
}

Task<PeerConnection> PeerConnection::connect(Endpoint endpoint, Duration timeout, ByteCount frameLimit)
{
    const auto executor = co_await Asio::this_coro::executor;
    boost::beast::tcp_stream stream(executor);
    stream.expires_after(timeout);
    const Asio::ip::tcp::endpoint target(Asio::ip::make_address(endpoint.address), endpoint.port);
    boost::system::error_code error;
    co_await stream.async_connect(target, Asio::redirect_error(Asio::use_awaitable, error));
    if (error)
        throw Error(ResultCode::PeerUnreachable, Ran::No, "The peer could not be reached");
    co_return PeerConnection(std::move(stream), frameLimit);
}

Task<HelloMessage> PeerConnection::handshake(HelloMessage own, Duration timeout)
{
    PeerMessage message(std::move(own));
    co_await write(RequestId(0), std::move(message), timeout);
    Frame frame = co_await readAny(timeout);
    auto* hello = std::get_if<HelloMessage>(&frame.message);
    if (!hello)
        throw Error(ResultCode::MalformedFrame, Ran::No, "The first frame is not a hello");
    otherIncarnation_ = frame.incarnation;
    co_return std::move(*hello);
}

Task<void> PeerConnection::write(RequestId request, PeerMessage message, Duration timeout)
{
    const std::string bytes = encodeFrame({ ownIncarnation_, request, std::move(message) });
    stream_.expires_after(timeout);
    co_await Asio::async_write(stream_, Asio::buffer(bytes), Asio::use_awaitable);
}

Task<Frame> PeerConnection::read(Duration timeout)
{
    Frame frame = co_await readAny(timeout);
    if (frame.incarnation != otherIncarnation_)
        throw Error(ResultCode::MalformedFrame, Ran::Unknown, "A frame belongs to another life of the connection");
    co_return frame;
}

Task<void> PeerConnection::refuse(const Error& reason, Duration timeout)
{
    PeerMessage message(FailureMessage { static_cast<std::uint16_t>(reason.code()), static_cast<std::uint8_t>(reason.ran()), reason.what() });
    co_await write(RequestId(0), std::move(message), timeout);
    co_await closeGently(stream_, PendingInput::Discard);
}

void PeerConnection::close()
{
    stream_.close();
}

Task<Frame> PeerConnection::readAny(Duration timeout)
{
    stream_.expires_after(timeout);
    std::array<char, frameLengthBytes> lengthBytes {};
    co_await Asio::async_read(stream_, Asio::buffer(lengthBytes), Asio::use_awaitable);
    const auto length = decodeFrameLength({ lengthBytes.data(), lengthBytes.size() }, frameLimit_);
    std::string bytes(length, '\0');
    co_await Asio::async_read(stream_, Asio::buffer(bytes), Asio::use_awaitable);
    co_return decodeFrame(bytes);
}

} // namespace Ibisturn
