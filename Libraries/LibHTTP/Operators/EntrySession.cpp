#include <LibHTTP/Operators/EntrySession.h>

#include <LibHTTP/Operators/BufferedRequests.h>
#include <LibKernel/SocketOptions.h>

#include <utility>

namespace Ibisturn {

namespace {

/// Clients that poll send a request every second or two.
constexpr Duration idleTimeout = std::chrono::seconds(10);
constexpr std::uint32_t headLimit = 8U * 1024;

} // namespace

Task<void> serveEntries(Asio::ip::tcp::socket socket, const EntryDialect& dialect, const EntrySource& source, std::optional<EntryLimits> limits)
{
    configureSocket(socket);
    const auto connection = limits ? limits->connections.open() : std::nullopt;
    if (limits && !connection)
        co_return;
    std::function<Task<BufferedReply>(const BufferedRequest&)> answer = [&dialect, &source](const BufferedRequest& request) -> Task<BufferedReply> {
        const auto target = request.target();
        auto reply = dialect.answer({ target.data(), target.size() }, source);
        const bool isJson = reply.body.starts_with('{');
        co_return BufferedReply { reply.status, isJson ? "application/json" : "text/plain; version=0.0.4", std::move(reply.body) };
    };
    co_await serveBufferedRequests(std::move(socket), { idleTimeout, headLimit, headLimit, limits ? &limits->memory : nullptr, limits ? &limits->connections.idle() : nullptr }, std::move(answer));
}

} // namespace Ibisturn
