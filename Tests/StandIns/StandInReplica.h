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
    /// Events of a stream, and the interval between them.
    std::uint32_t events { 5 };
    std::uint32_t eventMilliseconds { 5 };
    /// Truncates the first stream in the middle of this event; zero disables truncation.
    std::uint32_t truncateAtEvent { 0 };
    /// How many of the first requests fail with 500, and how many are refused as not executed.
    std::uint32_t failures { 0 };
    std::uint32_t refusals { 0 };
};

/// A replica of the platform that registers itself in the store. Paths that contain `stream` get a stream of events,
/// paths that contain `vanish` a closed connection, and all others the replica's id. `GET /runs` returns how often each
/// request ran.
/// Thread safety: all methods from any thread.
class StandInReplica {
public:
    explicit StandInReplica(ReplicaOptions options);

    /// Starts a thread that writes this replica's entry to the store periodically until the process ends.
    void startRegistration(Endpoint self, Endpoint store);

    /// Responds to one request.
    void handle(const HttpRequest& request, Responder& responder);

private:
    void answerStream(const HttpRequest& request, Responder& responder);
    bool decrementIfPositive(std::atomic<std::uint32_t>& remaining);

    ReplicaOptions options_;
    std::atomic<std::uint32_t> remainingFailures_;
    std::atomic<std::uint32_t> remainingRefusals_;
    std::atomic<std::uint32_t> remainingTruncations_;
    std::mutex mutex_;
    std::map<std::string, std::uint32_t> runs_;
};

} // namespace Ibisturn::StandIns
