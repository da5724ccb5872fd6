#pragma once

#include "StandInServer.h"

#include <atomic>
#include <cstdint>
#include <map>
#include <mutex>
#include <vector>

namespace Ibisturn::StandIns {

/// How an engine behaves.
struct EngineOptions {
    std::uint32_t tokens { 8 };
    std::uint32_t tokenMilliseconds { 5 };
    /// Cuts each stream after this many tokens; zero never does.
    std::uint32_t cutAfterTokens { 0 };
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
    void stream(const std::string& model, std::uint32_t firstToken, std::uint32_t tokens, Responder& responder);
    void report(Responder& responder);

    std::string name_;
    EngineOptions options_;
    std::atomic<std::uint64_t> runs_ { 0 };
    std::atomic<std::uint64_t> cancelled_ { 0 };
    std::atomic<std::uint32_t> underWay_ { 0 };
    std::mutex mutex_;
    /// The headers of every request, for tests that look for keys.
    std::vector<std::string> seenHeaders_;
};

} // namespace Ibisturn::StandIns
