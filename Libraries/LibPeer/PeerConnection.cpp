#include <LibPeer/PeerConnection.h>

#include <LibCore/Log.h>
#include <LibCore/RandomIdentity.h>
#include <LibKernel/GracefulClose.h>
#include <LibKernel/SocketOptions.h>

#include <algorithm>
#include <utility>

namespace Ibisturn {

namespace {

/// A part of a frame must be written within the timeout; a large frame may take longer over a slow link.
constexpr std::size_t writePartBytes = 64UL * 1024;
constexpr Log connectionLog("peer");
constexpr std::size_t minReadBytes = 4UL * 1024;
constexpr std::size_t maxRetainedBytes = 64UL * 1024;

} // namespace

PeerConnection::PeerConnection(boost::beast::tcp_stream stream, ByteCount frameLimit)
    : stream_(std::move(stream))
    , frameLimit_(frameLimit.count())
    , ownIncarnation_(generateIncarnation())
{
    configureSocket(stream_.socket());
}

Task<PeerConnection> PeerConnection::connect(Endpoint endpoint, Duration timeout, ByteCount frameLimit)
{
    const auto executor = co_await Asio::this_coro::executor;
    boost::beast::tcp_stream stream(executor);
    stream.expires_after(timeout);
    const Asio::ip::tcp::endpoint target(Asio::ip::make_address(endpoint.address), endpoint.port);
    openOutgoingSocket(stream.socket(), target);
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
    Frame frame = co_await readNextFrame(timeout);
    auto* hello = std::get_if<HelloMessage>(&frame.message);
    if (!hello)
        throw Error(ResultCode::MalformedFrame, Ran::No, "The first frame is not a hello message");
    peerIncarnation_ = frame.incarnation;
    lastRead_ = frame.number;
    co_return std::move(*hello);
}

Task<void> PeerConnection::write(RequestId request, PeerMessage message, Duration timeout)
{
    const std::string bytes = encode(request, std::move(message));
    co_await writeBytes(bytes, timeout);
}

std::string PeerConnection::encode(RequestId request, PeerMessage message)
{
    return encodeFrame({ ownIncarnation_, request, std::move(message), ++lastEncoded_ });
}

Task<void> PeerConnection::writeBytes(const std::string& bytes, Duration timeout)
{
    for (std::size_t sent = 0; sent < bytes.size(); sent += writePartBytes) {
        stream_.expires_after(timeout);
        co_await Asio::async_write(stream_, Asio::buffer(bytes.data() + sent, std::min(writePartBytes, bytes.size() - sent)), Asio::use_awaitable);
    }
}

Task<Frame> PeerConnection::read(Duration timeout)
{
    Frame frame = co_await readNextFrame(timeout);
    requireIncarnation(frame.incarnation);
    requireNext(frame.number);
    co_return frame;
}

Task<std::variant<Frame, RequestId>> PeerConnection::readOrDiscard(Duration timeout, std::function<bool(ByteCount)> admit)
{
    const auto length = co_await readLength(timeout);
    if (length > maxRetainedBytes) {
        const auto startBytes = co_await readAtLeast(frameStartBytes);
        const auto start = decodeFrameStart(startBytes);
        requireIncarnation(start.incarnation);
        if (start.isForward && !admit(ByteCount(length))) {
            requireNext(start.number);
            co_await discard(length);
            co_return start.request;
        }
    }
    Frame frame = co_await readFrame(length);
    requireIncarnation(frame.incarnation);
    requireNext(frame.number);
    co_return frame;
}

Task<void> PeerConnection::refuse(const Error& reason, Duration timeout)
{
    PeerMessage message(FailureMessage { static_cast<std::uint16_t>(reason.code()), static_cast<std::uint8_t>(reason.ran()), reason.what() });
    co_await write(RequestId(0), std::move(message), timeout);
    co_await closeGracefully(stream_, PendingInput::Discard);
}

void PeerConnection::close()
{
    stream_.close();
}

Task<Frame> PeerConnection::readNextFrame(Duration timeout)
{
    const auto length = co_await readLength(timeout);
    co_return co_await readFrame(length);
}

Task<std::size_t> PeerConnection::readLength(Duration timeout)
{
    stream_.expires_after(timeout);
    const auto lengthBytes = co_await readAtLeast(frameLengthBytes);
    const auto length = decodeFrameLength(lengthBytes, frameLimit_);
    received_.consume(frameLengthBytes);
    co_return length;
}

Task<Frame> PeerConnection::readFrame(std::size_t length)
{
    const auto bytes = co_await readAtLeast(length);
    Frame frame = decodeFrame(bytes);
    received_.consume(length);
    // Releases the memory of a large frame instead of keeping it for as long as the connection is open.
    if (received_.size() == 0 && received_.capacity() > maxRetainedBytes)
        received_.shrink_to_fit();
    co_return frame;
}

Task<void> PeerConnection::discard(std::size_t length)
{
    while (length > 0) {
        co_await readAtLeast(1);
        const auto part = std::min(length, received_.size());
        received_.consume(part);
        length -= part;
    }
}

void PeerConnection::requireIncarnation(Incarnation incarnation) const
{
    if (incarnation != peerIncarnation_)
        throw Error(ResultCode::MalformedFrame, Ran::Unknown, "A frame belongs to another incarnation of the connection");
}

// After a cut that lasted somewhat longer than the user timeout, a connection has delivered later frames without those before them.
void PeerConnection::requireNext(std::uint64_t number)
{
    const auto expected = std::exchange(lastRead_, number) + 1;
    if (number == 0 || number == expected)
        return;
    connectionLog.warning("Frames of a peer are missing; the connection is closed.", { { "number", number }, { "expected", expected } });
    throw boost::system::system_error(Asio::error::connection_aborted, "Frames of the peer are missing");
}

// Reads until the buffer has at least `length` bytes. The bytes stay in the buffer until the caller consumes them.
Task<std::string_view> PeerConnection::readAtLeast(std::size_t length)
{
    while (received_.size() < length) {
        const auto space = received_.prepare(std::max(minReadBytes, length - received_.size()));
        const auto count = co_await stream_.async_read_some(space, Asio::use_awaitable);
        received_.commit(count);
    }
    co_return std::string_view(static_cast<const char*>(received_.data().data()), length);
}

} // namespace Ibisturn
