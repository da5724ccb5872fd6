#include <LibHTTP/Backends/IdleConnectionPool.h>

#include <LibCore/SteadyClock.h>
#include <LibHTTP/Callers/SocketWatch.h>

#include <algorithm>
#include <utility>

namespace Ibisturn {

IdleConnectionPool::IdleConnectionPool(Limits limits, std::function<void(const Endpoint&)> onClosedEarly)
    : limits_(limits)
{
    state_->onClosedEarly = std::move(onClosedEarly);
}

void IdleConnectionPool::keep(TimePoint now, const Endpoint& endpoint, BackendConnectionPointer connection)
{
    if (!connection->stream.socket().is_open() || connection->hasWriteFailed || connection->buffer.size() > 0 || limits_.total == 0)
        return;
    const auto found = state_->byEndpoint.find(endpoint);
    if (found != state_->byEndpoint.end() && found->second.size() >= limits_.perServer)
        return;
    if (state_->idle.size() >= limits_.total)
        state_->remove(state_->idle.begin()->first);
    connection->stream.expires_never();
    const auto number = ++lastNumber_;
    const auto expiresAt = std::max(now + limits_.idleTime, connection->trustedUntil);
    state_->byEndpoint[endpoint].push_back(number);
    const auto& added = state_->idle.emplace(number, Idle { endpoint, std::move(connection), expiresAt }).first->second;
    watch(number, *added.connection);
}

BackendConnectionPointer IdleConnectionPool::take(TimePoint now, const Endpoint& endpoint, bool mustBeTrusted)
{
    for (auto found = state_->byEndpoint.find(endpoint); found != state_->byEndpoint.end(); found = state_->byEndpoint.find(endpoint)) {
        const auto number = found->second.back();
        auto connection = std::move(state_->idle.at(number).connection);
        state_->remove(number);
        // The event that a connection was closed may not have been handled yet.
        state_->reportIfClosedEarly(now, endpoint, *connection);
        const bool isTrusted = !mustBeTrusted || now < connection->trustedUntil;
        if (!isTrusted || probeSocket(connection->stream.socket()) != SocketState::Idle)
            continue;
        boost::system::error_code error;
        connection->stream.socket().cancel(error);
        if (!error)
            return connection;
    }
    return nullptr;
}

void IdleConnectionPool::sweep(TimePoint now, const std::function<bool(const Endpoint&)>& isUsed)
{
    std::vector<Number> expired;
    for (const auto& [number, idle] : state_->idle) {
        if (now >= idle.expiresAt || !isUsed(idle.endpoint))
            expired.push_back(number);
    }
    for (const auto number : expired)
        state_->remove(number);
}

void IdleConnectionPool::watch(Number number, BackendConnection& connection)
{
    const auto close = [weak = std::weak_ptr<State>(state_), number](const boost::system::error_code& /*error*/) {
        const auto state = weak.lock();
        const auto found = state ? state->idle.find(number) : decltype(state->idle.end()) {};
        if (!state || found == state->idle.end())
            return;
        const Endpoint endpoint = found->second.endpoint;
        const auto connection = std::move(found->second.connection);
        state->remove(number);
        state->reportIfClosedEarly(SteadyClock().now(), endpoint, *connection);
    };
    connection.stream.socket().async_wait(Asio::socket_base::wait_read, close);
}

void IdleConnectionPool::State::reportIfClosedEarly(TimePoint now, const Endpoint& endpoint, BackendConnection& connection) const
{
    if (onClosedEarly && now < connection.trustedUntil && probeSocket(connection.stream.socket()) == SocketState::Closed)
        onClosedEarly(endpoint);
}

void IdleConnectionPool::State::remove(Number number)
{
    const auto found = idle.find(number);
    if (found == idle.end())
        return;
    const auto numbers = byEndpoint.find(found->second.endpoint);
    std::erase(numbers->second, number);
    if (numbers->second.empty())
        byEndpoint.erase(numbers);
    idle.erase(found);
}

} // namespace Ibisturn
