#include "StandInEngine.h"

#include <sstream>
#include <thread>
#include <utility>

#include <fmt/format.h>
#include <nlohmann/json.hpp>

namespace Ibisturn::StandIns {

namespace {

constexpr std::size_t maxReceivedHeaders = 1000;
constexpr std::size_t prefixBytes = 256;
constexpr std::uint64_t cacheEventSeed = 1;

/// Occupies a slot of the engine's batch for its lifetime.
class SlotGuard {
public:
    SlotGuard(EngineScheduler& scheduler, std::int64_t priority)
        : scheduler_(scheduler)
    {
        scheduler_.acquire(priority);
    }

    ~SlotGuard() { scheduler_.release(); }
    SlotGuard(const SlotGuard&) = delete;
    SlotGuard& operator=(const SlotGuard&) = delete;

private:
    EngineScheduler& scheduler_;
};

std::uint32_t firstTokenToSend(const HttpRequest& request)
{
    const std::string last(request["Last-Event-ID"]);
    return last.empty() ? 0 : static_cast<std::uint32_t>(std::stoul(last)) + 1;
}

std::string chunk(const std::string& model, const std::string& content, bool isLast)
{
    const nlohmann::json delta = content.empty() ? nlohmann::json::object() : nlohmann::json { { "content", content } };
    nlohmann::json choice { { "index", 0 }, { "delta", delta }, { "finish_reason", nullptr } };
    if (isLast)
        choice["finish_reason"] = "stop";
    const nlohmann::json event { { "id", "chatcmpl-0" }, { "object", "chat.completion.chunk" }, { "model", model }, { "choices", { choice } } };
    return "data: " + event.dump() + "\n\n";
}

} // namespace

StandInEngine::StandInEngine(std::string name, EngineOptions options)
    : name_(std::move(name))
    , options_(options)
    , scheduler_(options.slots)
    , cache_(options.cachedPrefixes)
    , loadReport_(std::chrono::milliseconds(options.reportLagMilliseconds))
    , cacheEvents_(options.cacheEventLossProbability, cacheEventSeed)
{
    publishLoad();
}

void StandInEngine::handle(const HttpRequest& request, Responder& responder)
{
    const std::string target(request.target());
    if (target == "/load")
        return sendLoadReport(responder);
    if (target == "/cache-events")
        return responder.send(200, "application/json", cacheEvents_.since(0));
    if (target == "/drain") {
        isDraining_ = true;
        publishLoad();
        return responder.send(200, "application/json", "{}");
    }
    if (target == "/seen") {
        const std::scoped_lock lock(mutex_);
        return responder.send(200, "application/json", nlohmann::json(receivedHeaders_).dump());
    }
    if (target == "/v1/chat/completions" || target == "/v1/completions")
        return complete(request, responder);
    responder.send(404, "application/json", R"({"error":{"message":"unknown path"}})");
}

void StandInEngine::complete(const HttpRequest& request, Responder& responder)
{
    if (isDraining_)
        return responder.send(503, "application/json", R"({"error":{"message":"draining"}})");
    ++runs_;
    {
        std::ostringstream head;
        head << request.base();
        const std::scoped_lock lock(mutex_);
        if (receivedHeaders_.size() < maxReceivedHeaders)
            receivedHeaders_.push_back(head.str());
    }
    const auto body = nlohmann::json::parse(request.body(), nullptr, false);
    if (!body.is_object())
        return responder.send(400, "application/json", R"({"error":{"message":"not JSON"}})");
    {
        const SlotGuard slot(scheduler_, body.value("priority", 0));
        publishLoad();
        prefill(body.dump());
        answer(request, body, responder);
    }
    publishLoad();
}

void StandInEngine::answer(const HttpRequest& request, const nlohmann::json& body, Responder& responder)
{
    const auto model = body.value("model", "");
    const auto tokens = std::min(options_.tokens, body.value("max_tokens", options_.tokens));
    if (body.value("stream", false)) {
        stream(model, options_.supportsResume ? firstTokenToSend(request) : 0, tokens, responder);
        return;
    }
    std::this_thread::sleep_for(std::chrono::milliseconds(options_.tokenMilliseconds * tokens));
    const nlohmann::json message { { "role", "assistant" }, { "content", "answer from " + name_ } };
    const nlohmann::json completion { { "id", "chatcmpl-0" }, { "object", "chat.completion" }, { "model", model },
        { "choices", { { { "index", 0 }, { "message", message }, { "finish_reason", "stop" } } } },
        { "usage", { { "prompt_tokens", body.dump().size() / 4 }, { "completion_tokens", tokens } } } };
    responder.send(200, "application/json", completion.dump());
}

// A prompt whose prefix is not in the cache takes longer until its first token.
void StandInEngine::prefill(const std::string& prompt)
{
    const auto prefix = prompt.substr(0, prefixBytes);
    if (cache_.touch(prefix))
        return;
    cacheEvents_.recordStored(prefix);
    std::this_thread::sleep_for(std::chrono::milliseconds(options_.prefillMilliseconds));
}

void StandInEngine::publishLoad()
{
    const auto running = scheduler_.running();
    const auto waiting = scheduler_.waiting();
    const nlohmann::json load { { "name", name_ }, { "runs", runs_.load() }, { "cancelled", cancelled_.load() },
        { "running", running }, { "waiting", waiting }, { "under_way", running + waiting }, { "draining", isDraining_.load() }, { "age_ms", options_.reportLagMilliseconds } };
    loadReport_.set(load.dump());
}

void StandInEngine::stream(const std::string& model, std::uint32_t firstToken, std::uint32_t tokens, Responder& responder)
{
    responder.beginChunked("text/event-stream");
    for (std::uint32_t token = firstToken; token < tokens; ++token) {
        std::this_thread::sleep_for(std::chrono::milliseconds(options_.tokenMilliseconds));
        if (options_.truncateAfterTokens > 0 && token >= options_.truncateAfterTokens)
            return responder.disconnect();
        const auto id = options_.supportsResume ? fmt::format("id: {}\n", token) : std::string();
        const bool isConnected = responder.sendChunk(id + chunk(model, fmt::format("{}-{} ", name_, token), false));
        if (!isConnected || responder.isDisconnected()) {
            ++cancelled_;
            return responder.disconnect();
        }
    }
    responder.sendChunk(chunk(model, "", true));
    responder.sendChunk("data: [DONE]\n\n");
    responder.endChunked();
}

void StandInEngine::sendLoadReport(Responder& responder)
{
    responder.send(200, "application/json", loadReport_.get());
}

} // namespace Ibisturn::StandIns
