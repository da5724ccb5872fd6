#pragma once

#include "StandInServer.h"

#include <chrono>
#include <deque>
#include <mutex>

namespace Ibisturn::StandIns {

/// The platform's list of instances and backend servers, which shows each change only after a lag.
/// Thread safety: all methods from any thread.
class StandInLiveList {
public:
    /// Starts with `json`, shown at once; later ones after `lag`.
    StandInLiveList(std::string json, std::chrono::milliseconds lag);

    /// Answers `GET /v1/live` and takes a new list by `PUT /v1/live`.
    void handle(const HttpRequest& request, Responder& responder);

private:
    struct Pending {
        std::chrono::steady_clock::time_point shownFrom;
        std::string json;
    };

    std::mutex mutex_;
    std::chrono::milliseconds lag_;
    std::string shown_;
    std::deque<Pending> pending_;
};

} // namespace Ibisturn::StandIns
