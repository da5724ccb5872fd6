#pragma once

#include <LibConfiguration/Settings.h>
#include <LibKernel/Asio.h>
#include <LibPeer/Frame.h>

#include <boost/beast/core/flat_buffer.hpp>
#include <boost/beast/core/tcp_stream.hpp>

namespace Ibisturn {

/// One TCP connection between two instances. It carries one request at a time, so that TCP's own flow
/// control slows a slow reader's stream and no other.
/// Thread safety: one coroutine at a time, on the worker of the socket.
class PeerConnection {
public:
    /// Takes over a connected socket. Frames above `frameLimit` are refused.
    PeerConnection(boost::beast::tcp_stream stream, ByteCount frameLimit);

    /// Connects within `timeout`. Throws Error with PeerUnreachable.
    static Task<PeerConnection> connect(Endpoint endpoint, Duration timeout, ByteCount frameLimit);

    /// Exchanges hello messages; must come first on both sides. Returns the other side's.
    Task<HelloMessage> handshake(HelloMessage own, Duration timeout);

    /// Writes a message for `request`. Throws boost::system::system_error if the link is down.
    Task<void> write(RequestId request, PeerMessage message, Duration timeout);

    /// The bytes of a message for `request`, for writeBytes().
    std::string encode(RequestId request, PeerMessage message) const;

    /// Writes frames that encode() made. Throws boost::system::system_error if the link is down.
    Task<void> writeBytes(const std::string& bytes, Duration timeout);

    /// Reads the next frame. Throws boost::system::system_error if the link is down, and Error if the
    /// frame is malformed or of another life of the connection.
    Task<Frame> read(Duration timeout);

    /// The socket, to watch it or to look at it. Precondition: nothing is read from it or written to it.
    Asio::ip::tcp::socket& socket() { return stream_.socket(); }
    /// Tells the other side why the connection ends and ends it. Precondition: no request is under way.
    Task<void> refuse(const Error& reason, Duration timeout);

    /// Closes the connection; what is under way on it fails.
    void close();

private:
    Task<Frame> readAny(Duration timeout);
    Task<std::string_view> fill(std::size_t length);

    boost::beast::tcp_stream stream_;
    /// Bytes that came in with an earlier frame.
    boost::beast::flat_buffer received_;
    std::size_t frameLimit_;
    Incarnation ownIncarnation_;
    Incarnation otherIncarnation_;
};

} // namespace Ibisturn
