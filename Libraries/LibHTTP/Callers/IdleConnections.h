#pragma once

#include <LibHTTP/Callers/SocketWatch.h>

#include <cstdint>
#include <map>
#include <memory>

namespace Ibisturn {

/// The connections of one worker that have no request in flight. Thread safety: one worker.
class IdleConnections {
    /// Numbers grow, so the first connection has been idle longest.
    struct State {
        std::map<std::uint64_t, Asio::ip::tcp::socket*> sockets;
        std::uint64_t lastNumber { 0 };
    };

public:
    /// Ends the wait on connections on which no byte of a request has arrived, so that their callers reconnect to other instances. What
    /// waits there receives operation_aborted and must close the connection. If bytes have been read already and their reader has not
    /// resumed yet, it receives them.
    void close()
    {
        for (const auto& [number, socket] : state_->sockets) {
            boost::system::error_code ignored;
            if (probeSocket(*socket) != SocketState::Readable)
                socket->cancel(ignored);
        }
    }

    /// As close(), for the connection that has been idle longest, of those on which no byte of a request has arrived; false if there is none.
    bool closeLongestIdle()
    {
        for (const auto& [number, socket] : state_->sockets) {
            // A closed socket stays registered until its coroutine has resumed.
            if (!socket->is_open() || probeSocket(*socket) == SocketState::Readable)
                continue;
            boost::system::error_code ignored;
            socket->cancel(ignored);
            state_->sockets.erase(number);
            return true;
        }
        return false;
    }

    /// The number of idle connections.
    std::size_t size() const { return state_->sockets.size(); }

    /// Registers a connection as idle for the lifetime of this object.
    class Scope {
    public:
        /// Precondition: `socket` outlives the scope.
        Scope(IdleConnections& connections, Asio::ip::tcp::socket& socket)
            : state_(connections.state_)
            , number_(++state_->lastNumber)
        {
            state_->sockets.emplace(number_, &socket);
        }

        ~Scope() { state_->sockets.erase(number_); }
        Scope(const Scope&) = delete;
        Scope& operator=(const Scope&) = delete;

    private:
        std::shared_ptr<State> state_;
        std::uint64_t number_;
    };

private:
    // Shared with the scopes: an event loop destroys its suspended coroutines after the other members of the worker.
    std::shared_ptr<State> state_ { std::make_shared<State>() };
};

} // namespace Ibisturn
