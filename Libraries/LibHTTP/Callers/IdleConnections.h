#pragma once

#include <LibHTTP/Callers/SocketWatch.h>

#include <memory>
#include <set>

namespace Ibisturn {

/// The connections of one worker that have no request in flight. Thread safety: one worker.
class IdleConnections {
    using Sockets = std::set<Asio::ip::tcp::socket*>;

public:
    /// Closes the connections on which no byte of a request has arrived, so that their callers reconnect to other instances.
    void close()
    {
        for (auto* socket : *sockets_) {
            boost::system::error_code ignored;
            if (probeSocket(*socket) != SocketState::Readable)
                socket->close(ignored);
        }
    }

    /// The number of idle connections.
    std::size_t size() const { return sockets_->size(); }

    /// Registers a connection as idle for the lifetime of this object.
    class Scope {
    public:
        /// Precondition: `socket` outlives the scope.
        Scope(IdleConnections& connections, Asio::ip::tcp::socket& socket)
            : sockets_(connections.sockets_)
            , socket_(socket)
        {
            sockets_->insert(&socket_);
        }

        ~Scope() { sockets_->erase(&socket_); }
        Scope(const Scope&) = delete;
        Scope& operator=(const Scope&) = delete;

    private:
        std::shared_ptr<Sockets> sockets_;
        Asio::ip::tcp::socket& socket_;
    };

private:
    // Shared with the scopes: an event loop destroys its suspended coroutines after the other members of the worker.
    std::shared_ptr<Sockets> sockets_ { std::make_shared<Sockets>() };
};

} // namespace Ibisturn
