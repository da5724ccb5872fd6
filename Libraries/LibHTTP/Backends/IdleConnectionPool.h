#pragma once

#include <LibConfiguration/Records.h>
#include <LibHTTP/Backends/BackendConnection.h>

#include <functional>
#include <map>
#include <memory>
#include <vector>

namespace Ibisturn {

/// The connections to backend servers that have no request in flight. A connection that receives a byte or the end is closed at
/// once. Thread safety: the worker that owns it, which also runs the event loop of the connections.
class IdleConnectionPool {
public:
    struct Limits {
        /// The most connections to one backend server.
        std::size_t perServer;
        /// The most connections to all backend servers.
        std::size_t total;
        /// How long a connection is kept that its backend server does not promise to keep longer.
        Duration idleTime;
    };

    /// `onClosedEarly` is called when a backend server closes a connection that it promised to keep open for longer.
    explicit IdleConnectionPool(Limits limits, std::function<void(const Endpoint&)> onClosedEarly = nullptr);

    /// Adds a connection; the longest idle one is closed if there are too many. A connection that is closed or has unread bytes is
    /// dropped instead, as is one to a backend server that has enough.
    void keep(TimePoint now, const Endpoint& endpoint, BackendConnectionPointer connection);

    /// Removes and returns the last connection to `endpoint` that is still open and, if `mustBeTrusted`, not expected to be
    /// closed by the backend server soon; null if there is none.
    BackendConnectionPointer take(TimePoint now, const Endpoint& endpoint, bool mustBeTrusted);

    /// Closes the connections that have been idle too long, and those to addresses that are no backend server's any more.
    void sweep(TimePoint now, const std::function<bool(const Endpoint&)>& isUsed);

    /// The number of connections.
    std::size_t size() const { return state_->idle.size(); }

private:
    using Number = std::uint64_t;

    struct Idle {
        Endpoint endpoint;
        BackendConnectionPointer connection;
        TimePoint expiresAt;
    };

    /// Numbers grow, so the first connection is the longest idle one. An event that refers to a number that is gone is ignored.
    struct State {
        std::map<Number, Idle> idle;
        std::map<Endpoint, std::vector<Number>> byEndpoint;
        std::function<void(const Endpoint&)> onClosedEarly;

        void remove(Number number);
        void reportIfClosedEarly(TimePoint now, const Endpoint& endpoint, BackendConnection& connection) const;
    };

    void watch(Number number, BackendConnection& connection);

    Limits limits_;
    Number lastNumber_ { 0 };
    // Shared with the handlers of the event loop, which may outlive the pool.
    std::shared_ptr<State> state_ { std::make_shared<State>() };
};

} // namespace Ibisturn
