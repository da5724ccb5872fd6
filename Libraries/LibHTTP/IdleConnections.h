#pragma once

#include <LibHTTP/SocketWatch.h>

#include <set>

namespace Ibisturn {

/// The connections of one worker on which no request is under way. Thread safety: one worker.
class IdleConnections {
public:
    /// Closes those on which no byte of a request has arrived, so that their callers turn elsewhere.
    void close()
    {
        for (auto* socket : sockets_) {
            boost::system::error_code ignored;
            if (probeSocket(*socket) != SocketState::Readable)
                socket->close(ignored);
        }
    }

    /// The number of idle connections.
    std::size_t size() const { return sockets_.size(); }

    /// A connection that is idle while this lives.
    class Scope {
    public:
        /// Precondition: `connections` and `socket` outlive the scope.
        Scope(IdleConnections& connections, Asio::ip::tcp::socket& socket)
            : connections_(connections)
            , socket_(socket)
        {
            connections_.sockets_.insert(&socket_);
        }

        ~Scope() { connections_.sockets_.erase(&socket_); }
        Scope(const Scope&) = delete;
        Scope& operator=(const Scope&) = delete;

    private:
        IdleConnections& connections_;
        Asio::ip::tcp::socket& socket_;
    };

private:
    std::set<Asio::ip::tcp::socket*> sockets_;
};

} // namespace Ibisturn
