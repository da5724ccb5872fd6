#include "StandInReplica.h"

#include <LibKernel/HttpClient.h>

#include <chrono>
#include <thread>
#include <utility>

#include <fmt/format.h>
#include <nlohmann/json.hpp>

namespace Ibisturn::StandIns {

namespace {

constexpr auto heartbeatPeriod = std::chrono::milliseconds(200);

std::string headerValue(const HttpRequest& request, const char* header)
{
    const auto value = request[header];
    return { value.data(), value.size() };
}

void put(const Endpoint& store, const std::string& key, const std::string& value)
{
    Asio::io_context context;
    HttpCall call;
    call.endpoint = store;
    call.method = "PUT";
    call.target = "/entries/" + key;
    call.body = value;
    // Errors are ignored: the next heartbeat writes the entry again.
    Asio::co_spawn(context, exchangeHttp(std::move(call)), [](const std::exception_ptr& /*error*/, const HttpReply& /*reply*/) {});
    context.run();
}

} // namespace

StandInReplica::StandInReplica(ReplicaOptions options)
    : options_(std::move(options))
    , remainingFailures_(options_.failures)
    , remainingRefusals_(options_.refusals)
    , remainingTruncations_(options_.truncateAtEvent > 0 ? 1 : 0)
{
}

void StandInReplica::startRegistration(Endpoint self, Endpoint store)
{
    const auto started = std::chrono::duration_cast<std::chrono::milliseconds>(std::chrono::system_clock::now().time_since_epoch()).count();
    std::thread([this, self = std::move(self), store = std::move(store), started] {
        for (std::int64_t sequence = 1;; ++sequence) {
            const nlohmann::json entry { { "Service", options_.service }, { "Addr", self.toString() }, { "Zone", options_.zone }, { "Version", "v1" }, { "Version", "v1" },
                { "Slots", 8 }, { "State", "ready" }, { "ColdLeftMs", 0 }, { "Seq", sequence }, { "born", started } };
            put(store, "servers/" + options_.id, entry.dump());
            std::this_thread::sleep_for(heartbeatPeriod);
        }
    }).detach();
}

void StandInReplica::handle(const HttpRequest& request, Responder& responder)
{
    if (request.target() == "/runs") {
        const std::scoped_lock lock(mutex_);
        return responder.send(200, "application/json", nlohmann::json(runs_).dump());
    }
    const auto id = headerValue(request, "X-Ibisturn-Request-Id");
    responder.addHeader("X-Ibisturn-Request-Id", id);
    if (headerValue(request, "X-Ibisturn-Expect-Instance") != options_.id) {
        responder.addHeader("X-Ibisturn-Instance-Id", options_.id);
        return responder.send(421, "text/plain", "");
    }
    if (decrementIfPositive(remainingRefusals_)) {
        responder.addHeader("X-Ibisturn-Not-Executed", "1");
        return responder.send(503, "text/plain", "");
    }
    {
        const std::scoped_lock lock(mutex_);
        ++runs_[id];
    }
    if (request.target().find("vanish") != boost::beast::string_view::npos)
        return responder.disconnect();
    responder.addHeader("X-Ibisturn-Server-Seal", "seal-of-" + options_.id);
    responder.addHeader("X-Ibisturn-Server-Load", "1,0,8");
    if (decrementIfPositive(remainingFailures_))
        return responder.send(500, "text/plain", "failed");
    if (request.target().find("stream") != boost::beast::string_view::npos)
        return answerStream(request, responder);
    responder.send(200, "text/plain", fmt::format("{} tenant={} key={}", options_.id, headerValue(request, "X-Ibisturn-Tenant"), headerValue(request, "Authorization")));
}

void StandInReplica::answerStream(const HttpRequest& request, Responder& responder)
{
    const auto last = headerValue(request, "Last-Event-Id");
    std::uint32_t event = last.empty() ? 1 : static_cast<std::uint32_t>(std::stoul(last)) + 1;
    responder.beginChunked("text/event-stream");
    for (; event <= options_.events; ++event) {
        std::this_thread::sleep_for(std::chrono::milliseconds(options_.eventMilliseconds));
        const auto text = fmt::format("id: {}\ndata: piece {}\n\n", event, event);
        if (event == options_.truncateAtEvent && decrementIfPositive(remainingTruncations_)) {
            responder.sendChunk(std::string_view(text).substr(0, text.size() / 2));
            return responder.disconnect();
        }
        if (!responder.sendChunk(text))
            return responder.disconnect();
    }
    responder.endChunked();
}

bool StandInReplica::decrementIfPositive(std::atomic<std::uint32_t>& remaining)
{
    auto count = remaining.load();
    while (count > 0) {
        if (remaining.compare_exchange_weak(count, count - 1))
            return true;
    }
    return false;
}

} // namespace Ibisturn::StandIns
