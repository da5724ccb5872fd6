#pragma once

#include <LibConfiguration/Settings.h>
#include <LibKernel/Asio.h>
#include <LibPeer/Frame.h>

#include <functional>
#include <variant>

#include <boost/beast/core/flat_buffer.hpp>
#include <boost/beast/core/tcp_stream.hpp>

namespace Ibisturn {

/// How long a part of a control message may stall on the way, in either direction of a control connection. Many peers may share the link
/// that it goes over.
constexpr Duration controlWriteTimeout = std::chrono::seconds(2);

/// One TCP connection between two instances. It carries one request at a time, so that TCP flow control
/// for a slow reader affects only that reader's stream.
/// Thread safety: one coroutine at a time, on the worker of the socket.
class PeerConnection {
public:
    /// Takes ownership of a connected socket. Frames larger than `frameLimit` are rejected.
    PeerConnection(boost::beast::tcp_stream stream, ByteCount frameLimit);

    /// Connects within `timeout`. Throws Error with PeerUnreachable.
    static Task<PeerConnection> connect(Endpoint endpoint, Duration timeout, ByteCount frameLimit);

    /// Exchanges hello messages and returns the peer's. Both sides must call this before any other operation.
    Task<HelloMessage> handshake(HelloMessage own, Duration timeout);

    /// Writes a message for `request`. Throws boost::system::system_error if the connection fails.
    Task<void> write(RequestId request, PeerMessage message, Duration timeout);

    /// Encodes a message for `request` as the next frame, for writeBytes(). Precondition: frames are written in the order in which they are
    /// encoded, and each of them is.
    std::string encode(RequestId request, PeerMessage message);

    /// Writes frames that encode() returned. Throws boost::system::system_error if the connection fails.
    Task<void> writeBytes(const std::string& bytes, Duration timeout);

    /// Reads the next frame. Throws boost::system::system_error if the connection fails or a frame is missing, and Error if the
    /// frame is malformed or belongs to another incarnation of the connection.
    Task<Frame> read(Duration timeout);

    /// Like read(), but asks `admit` with the frame's length before the body of a large forwarded request is read. If it returns
    /// false, the frame is discarded as it arrives, and the request that it carries is returned.
    Task<std::variant<Frame, RequestId>> readOrDiscard(Duration timeout, std::function<bool(ByteCount)> admit);

    /// The socket, for waiting on or inspecting it. Precondition: the caller does not read from it or write to it.
    Asio::ip::tcp::socket& socket() { return stream_.socket(); }
    /// Sends the reason to the peer and closes the connection. Precondition: no request is in flight.
    Task<void> refuse(const Error& reason, Duration timeout);

    /// Closes the connection; pending operations on it fail.
    void close();

private:
    Task<Frame> readNextFrame(Duration timeout);
    Task<std::size_t> readLength(Duration timeout);
    Task<Frame> readFrame(std::size_t length);
    Task<void> discard(std::size_t length);
    void requireIncarnation(Incarnation incarnation) const;
    void requireNext(std::uint64_t number);
    Task<std::string_view> readAtLeast(std::size_t length);

    boost::beast::tcp_stream stream_;
    /// Received bytes that have not been consumed yet.
    boost::beast::flat_buffer received_;
    std::size_t frameLimit_;
    Incarnation ownIncarnation_;
    Incarnation peerIncarnation_;
    /// The numbers of the last frames that were encoded and read.
    std::uint64_t lastEncoded_ { 0 };
    std::uint64_t lastRead_ { 0 };
};

} // namespace Ibisturn
