#pragma once

#include "StandInServer.h"

#include <condition_variable>
#include <cstdint>
#include <map>
#include <mutex>
#include <vector>

#include <nlohmann/json.hpp>

namespace Ibisturn::StandIns {

/// Faults to inject, set over HTTP at `POST /faults`.
struct StoreFaults {
    /// Closes the connection of every call.
    bool isDown { false };
    /// Delay before each response.
    std::uint32_t delayMilliseconds { 0 };
    /// Drops the replies of this many transactions after they took effect.
    std::uint32_t repliesToDrop { 0 };
};

/// An in-memory implementation of a subset of etcd v3's JSON gateway: range, txn, watch and lease calls.
/// Thread safety: all methods from any thread.
class StandInStore {
public:
    /// Calls beyond `callsPerSecond` are rejected with status 429.
    explicit StandInStore(double callsPerSecond);

    /// Responds to one request.
    void handle(const HttpRequest& request, Responder& responder);

private:
    struct Entry {
        std::string value;
        std::int64_t created { 0 };
        std::int64_t modified { 0 };
        std::int64_t lease { 0 };
    };
    struct Event {
        std::string key;
        Entry entry;
        bool isDeletion { false };
    };
    struct Lease {
        std::chrono::seconds timeToLive;
        std::chrono::steady_clock::time_point expires;
    };

    bool admitCall();
    void setFaults(const HttpRequest& request, Responder& responder);
    nlohmann::json range(const nlohmann::json& request);
    nlohmann::json transact(const nlohmann::json& request);
    nlohmann::json grant(const nlohmann::json& request);
    nlohmann::json keepAlive(const nlohmann::json& request);
    nlohmann::json revoke(const nlohmann::json& request);
    void watch(const nlohmann::json& request, Responder& responder);
    bool isSatisfied(const nlohmann::json& comparison) const;
    nlohmann::json applyOperation(const nlohmann::json& operation, std::int64_t revision);
    void erase(const std::string& key, std::int64_t revision);
    void expireLeases();
    nlohmann::json header() const;

    std::mutex mutex_;
    std::condition_variable changed_;
    double callsPerSecond_;
    double availableCalls_;
    std::chrono::steady_clock::time_point lastRefill_;
    StoreFaults faults_;
    std::int64_t revision_ { 1 };
    std::int64_t lastLease_ { 0 };
    std::uint64_t callCount_ { 0 };
    std::map<std::string, Entry> entries_;
    std::map<std::int64_t, Lease> leases_;
    std::vector<Event> events_;
};

} // namespace Ibisturn::StandIns
