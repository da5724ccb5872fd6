#include "StandInEngine.h"

#include <sstream>
#include <thread>
#include <utility>

#include <fmt/format.h>
#include <nlohmann/json.hpp>

namespace Ibisturn::StandIns {

namespace {

constexpr std::size_t mostSeenHeaders = 1000;

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
{
}

void StandInEngine::handle(const HttpRequest& request, Responder& responder)
{
    const std::string target(request.target());
    if (target == "/load")
        return report(responder);
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
    const auto model = body.value("model", "");
    const auto tokens = std::min(options_.tokens, body.value("max_tokens", options_.tokens));
    ++underWay_;
    if (body.value("stream", false)) {
        stream(model, options_.resumes ? firstTokenOf(request) : 0, tokens, responder);
    } else {
        std::this_thread::sleep_for(std::chrono::milliseconds(options_.tokenMilliseconds * tokens));
        const nlohmann::json message { { "role", "assistant" }, { "content", "answer from " + name_ } };
        const nlohmann::json answer { { "id", "chatcmpl-0" }, { "object", "chat.completion" }, { "model", model },
            { "choices", { { { "index", 0 }, { "message", message }, { "finish_reason", "stop" } } } },
            { "usage", { { "prompt_tokens", body.dump().size() / 4 }, { "completion_tokens", tokens } } } };
        responder.send(200, "application/json", answer.dump());
    }
    --underWay_;
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
    const nlohmann::json load { { "name", name_ }, { "runs", runs_.load() }, { "cancelled", cancelled_.load() }, { "under_way", underWay_.load() } };
    responder.send(200, "application/json", load.dump());
}

} // namespace Ibisturn::StandIns
