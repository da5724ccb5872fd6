#include "StandInEngine.h"

#include <sstream>
#include <thread>
#include <utility>

#include <fmt/format.h>
#include <nlohmann/json.hpp>

namespace Ibisturn::StandIns {

namespace {

constexpr std::size_t mostSeenHeaders = 1000;
constexpr std::size_t prefixBytes = 256;
constexpr std::uint64_t cacheEventSeed = 1;

/// Occupies a slot of the engine's batch for its lifetime.
class SlotHold {
public:
    SlotHold(EngineScheduler& scheduler, std::int64_t priority)
        : scheduler_(scheduler)
    {
        scheduler_.acquire(priority);
    }

    ~SlotHold() { scheduler_.release(); }
    SlotHold(const SlotHold&) = delete;
    SlotHold& operator=(const SlotHold&) = delete;

private:
    EngineScheduler& scheduler_;
};

std::uint32_t firstTokenOf(const HttpRequest& request)
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
    , load_(std::chrono::milliseconds(options.reportLagMilliseconds))
    , cacheEvents_(options.cacheEventLoss, cacheEventSeed)
{
    noteLoad();
}

void StandInEngine::handle(const HttpRequest& request, Responder& responder)
{
    const std::string target(request.target());
    if (target == "/load")
        return report(responder);
    if (target == "/cache-events")
        return responder.send(200, "application/json", cacheEvents_.since(0));
    if (target == "/drain") {
        isDraining_ = true;
        noteLoad();
        return responder.send(200, "application/json", "{}");
    }
    if (target == "/seen") {
        const std::scoped_lock lock(mutex_);
        return responder.send(200, "application/json", nlohmann::json(seenHeaders_).dump());
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
        if (seenHeaders_.size() < mostSeenHeaders)
            seenHeaders_.push_back(head.str());
    }
    const auto body = nlohmann::json::parse(request.body(), nullptr, false);
    if (!body.is_object())
        return responder.send(400, "application/json", R"({"error":{"message":"not JSON"}})");
    {
        const SlotHold slot(scheduler_, body.value("priority", 0));
        noteLoad();
        prefill(body.dump());
        answer(request, body, responder);
    }
    noteLoad();
}

void StandInEngine::answer(const HttpRequest& request, const nlohmann::json& body, Responder& responder)
{
    const auto model = body.value("model", "");
    const auto tokens = std::min(options_.tokens, body.value("max_tokens", options_.tokens));
    if (body.value("stream", false)) {
        stream(model, options_.resumes ? firstTokenOf(request) : 0, tokens, responder);
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
    cacheEvents_.stored(prefix);
    std::this_thread::sleep_for(std::chrono::milliseconds(options_.prefillMilliseconds));
}

void StandInEngine::noteLoad()
{
    const auto running = scheduler_.running();
    const auto waiting = scheduler_.waiting();
    const nlohmann::json load { { "name", name_ }, { "runs", runs_.load() }, { "cancelled", cancelled_.load() },
        { "running", running }, { "waiting", waiting }, { "under_way", running + waiting }, { "draining", isDraining_.load() }, { "age_ms", options_.reportLagMilliseconds } };
    load_.set(load.dump());
}

void StandInEngine::stream(const std::string& model, std::uint32_t firstToken, std::uint32_t tokens, Responder& responder)
{
    responder.begin("text/event-stream");
    for (std::uint32_t token = firstToken; token < tokens; ++token) {
        std::this_thread::sleep_for(std::chrono::milliseconds(options_.tokenMilliseconds));
        if (options_.cutAfterTokens > 0 && token >= options_.cutAfterTokens)
            return responder.cut();
        const auto id = options_.resumes ? fmt::format("id: {}\n", token) : std::string();
        const bool isThere = responder.part(id + chunk(model, fmt::format("{}-{} ", name_, token), false));
        if (!isThere || responder.isGone()) {
            ++cancelled_;
            return responder.cut();
        }
    }
    responder.part(chunk(model, "", true));
    responder.part("data: [DONE]\n\n");
    responder.end();
}

void StandInEngine::report(Responder& responder)
{
    responder.send(200, "application/json", load_.get());
}

} // namespace Ibisturn::StandIns
