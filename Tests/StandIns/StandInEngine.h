#pragma once

#include "EngineReports.h"
#include "EngineScheduler.h"
#include "StandInServer.h"

#include <atomic>
#include <cstdint>
#include <map>
#include <mutex>
#include <vector>

#include <nlohmann/json.hpp>

namespace Ibisturn::StandIns {

/// How an engine behaves.
struct EngineOptions {
    std::uint32_t tokens { 8 };
    std::uint32_t tokenMilliseconds { 5 };
    /// Cuts each stream after this many tokens; zero never does.
    std::uint32_t cutAfterTokens { 0 };
    /// Requests in its batch; others wait by priority.
    std::uint32_t slots { 16 };
    /// Prompt prefixes that its cache keeps, and the time that one not kept costs.
    std::size_t cachedPrefixes { 32 };
    std::uint32_t prefillMilliseconds { 0 };
    /// How late its load reports are, and the share of its cache events that get lost.
    std::uint32_t reportLagMilliseconds { 0 };
    double cacheEventLoss { 0.1 };
    /// Numbers its events and goes on after `Last-Event-ID`.
    bool resumes { false };
};

/// A model engine that speaks the OpenAI API and counts what it sees.
/// Thread safety: all methods from any thread.
class StandInEngine {
public:
    /// `name` appears in its answers.
    StandInEngine(std::string name, EngineOptions options);

    /// Answers one request.
    void handle(const HttpRequest& request, Responder& responder);

private:
    void complete(const HttpRequest& request, Responder& responder);
    void answer(const HttpRequest& request, const nlohmann::json& body, Responder& responder);
    void stream(const std::string& model, std::uint32_t firstToken, std::uint32_t tokens, Responder& responder);
    void report(Responder& responder);
    void prefill(const std::string& prompt);
    void noteLoad();

    std::string name_;
    EngineOptions options_;
    std::atomic<std::uint64_t> runs_ { 0 };
    std::atomic<std::uint64_t> cancelled_ { 0 };
    std::atomic<bool> isDraining_ { false };
    EngineScheduler scheduler_;
    EnginePrefixCache cache_;
    LaggingReport load_;
    CacheEvents cacheEvents_;
    std::mutex mutex_;
    /// The headers of every request, for tests that look for keys.
    std::vector<std::string> seenHeaders_;
};

} // namespace Ibisturn::StandIns
