#pragma once

#include "StandInServer.h"

#include <map>
#include <mutex>

namespace Ibisturn::StandIns {

/// A plain service that counts how often it ran each request, by its Idempotency-Key.
/// Thread safety: all methods from any thread.
class StandInService {
public:
    /// Waits this long within each run.
    explicit StandInService(std::uint32_t runMilliseconds);

    /// Answers one request; `GET /runs` lists the counts.
    void handle(const HttpRequest& request, Responder& responder);

private:
    std::uint32_t runMilliseconds_;
    std::mutex mutex_;
    std::map<std::string, std::uint64_t> runs_;
};

} // namespace Ibisturn::StandIns
