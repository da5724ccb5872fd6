#pragma once

#include <LibHTTP/Callers/SocketWatch.h>

#include <memory>
#include <set>

namespace Ibisturn {

/// The connections of one worker on which no request is under way. Thread safety: one worker.
class IdleConnections {
    using Sockets = std::set<Asio::ip::tcp::socket*>;

public:
    /// Closes those on which no byte of a request has arrived, so that their callers turn elsewhere.
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

    /// A connection that is idle while this lives.
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
    // Scopes share it: an event loop that ends destroys its coroutines after the worker's other parts.
    std::shared_ptr<Sockets> sockets_ { std::make_shared<Sockets>() };
};

} // namespace Ibisturn
