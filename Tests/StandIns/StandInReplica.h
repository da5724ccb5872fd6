#pragma once

#include "StandInServer.h"

#include <atomic>
#include <cstdint>
#include <map>
#include <mutex>
#include <string>

namespace Ibisturn::StandIns {

struct ReplicaOptions {
    std::string id;
    std::string service;
    std::string zone;
    /// Events of a stream, and the pause between them.
    std::uint32_t events { 5 };
    std::uint32_t eventMilliseconds { 5 };
    /// Cuts the first stream in the middle of this event; zero cuts none.
    std::uint32_t cutAfterEvents { 0 };
    /// Requests that are answered with 500, and ones that are refused as not executed, from the first on.
    std::uint32_t failures { 0 };
    std::uint32_t refusals { 0 };
};

/// A replica of the platform that registers itself in the store. Paths that hold `stream` are answered by events, all
/// others by the replica's id. `GET /runs` shows how often each request ran.
/// Thread safety: all methods from any thread.
class StandInReplica {
public:
    explicit StandInReplica(ReplicaOptions options);

    /// Writes its entry to the store now and then, until the process ends.
    void beginToRegister(Endpoint self, Endpoint store);

    /// Answers one request.
    void handle(const HttpRequest& request, Responder& responder);

private:
    void answerStream(const HttpRequest& request, Responder& responder);
    bool takeOne(std::atomic<std::uint32_t>& left);

    ReplicaOptions options_;
    std::atomic<std::uint32_t> failuresLeft_;
    std::atomic<std::uint32_t> refusalsLeft_;
    std::atomic<std::uint32_t> cutsLeft_;
    std::mutex mutex_;
    std::map<std::string, std::uint32_t> runs_;
};

} // namespace Ibisturn::StandIns
