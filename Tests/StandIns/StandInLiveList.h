#pragma once

#include "StandInServer.h"

#include <chrono>
#include <deque>
#include <mutex>

namespace Ibisturn::StandIns {

/// The platform's live list of instances and backend servers, in which each change becomes visible only after a lag.
/// Thread safety: all methods from any thread.
class StandInLiveList {
public:
    /// `json` is visible from the start; lists set later become visible after `lag`.
    StandInLiveList(std::string json, std::chrono::milliseconds lag);

    /// Serves the list at `GET /v1/live` and replaces it at `PUT /v1/live`.
    void handle(const HttpRequest& request, Responder& responder);

private:
    struct Pending {
        std::chrono::steady_clock::time_point visibleFrom;
        std::string json;
    };

    std::mutex mutex_;
    std::chrono::milliseconds lag_;
    std::string visible_;
    std::deque<Pending> pending_;
};

} // namespace Ibisturn::StandIns
