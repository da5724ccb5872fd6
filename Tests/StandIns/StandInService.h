#pragma once

#include "StandInServer.h"

#include <map>
#include <mutex>

namespace Ibisturn::StandIns {

/// A plain service that counts how often each request ran, by its Idempotency-Key.
/// Thread safety: all methods from any thread.
class StandInService {
public:
    /// Each run takes `runMilliseconds`.
    explicit StandInService(std::uint32_t runMilliseconds);

    /// Responds to one request; `GET /runs` returns the counts.
    void handle(const HttpRequest& request, Responder& responder);

private:
    std::uint32_t runMilliseconds_;
    std::mutex mutex_;
    std::map<std::string, std::uint64_t> runs_;
};

} // namespace Ibisturn::StandIns
