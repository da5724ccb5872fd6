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

/// The behaviour of a stand-in engine.
struct EngineOptions {
    std::uint32_t tokens { 8 };
    std::uint32_t tokenMilliseconds { 5 };
    /// Truncates each stream after this many tokens; zero disables truncation.
    std::uint32_t truncateAfterTokens { 0 };
    /// Requests that run at once; others wait by priority.
    std::uint32_t slots { 16 };
    /// Capacity of the prefix cache, and the prefill time of a prompt whose prefix is not cached.
    std::size_t cachedPrefixes { 32 };
    std::uint32_t prefillMilliseconds { 0 };
    /// Delay of the load reports, and the share of cache events that are lost.
    std::uint32_t reportLagMilliseconds { 0 };
    double cacheEventLossProbability { 0.1 };
    /// Numbers the events of a stream and resumes after the one in `Last-Event-ID`.
    bool supportsResume { false };
};

/// A model engine with the OpenAI API that counts its runs and records the headers that it receives.
/// Thread safety: all methods from any thread.
class StandInEngine {
public:
    /// `name` appears in the responses.
    StandInEngine(std::string name, EngineOptions options);

    /// Responds to one request.
    void handle(const HttpRequest& request, Responder& responder);

private:
    void complete(const HttpRequest& request, Responder& responder);
    void answer(const HttpRequest& request, const nlohmann::json& body, Responder& responder);
    void stream(const std::string& model, std::uint32_t firstToken, std::uint32_t tokens, Responder& responder);
    void sendLoadReport(Responder& responder);
    void prefill(const std::string& prompt);
    void publishLoad();

    std::string name_;
    EngineOptions options_;
    std::atomic<std::uint64_t> runs_ { 0 };
    std::atomic<std::uint64_t> cancelled_ { 0 };
    std::atomic<bool> isDraining_ { false };
    EngineScheduler scheduler_;
    EnginePrefixCache cache_;
    DelayedReport loadReport_;
    CacheEvents cacheEvents_;
    std::mutex mutex_;
    /// The headers of the requests received, so that tests can check which of the callers' keys are forwarded.
    std::vector<std::string> receivedHeaders_;
};

} // namespace Ibisturn::StandIns
