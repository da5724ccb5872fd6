#include "StandInService.h"

#include <thread>

#include <nlohmann/json.hpp>

namespace Ibisturn::StandIns {

StandInService::StandInService(std::uint32_t runMilliseconds)
    : runMilliseconds_(runMilliseconds)
{
}

void StandInService::handle(const HttpRequest& request, Responder& responder)
{
    if (request.target() == "/runs") {
        const std::scoped_lock lock(mutex_);
        return responder.send(200, "application/json", nlohmann::json(runs_).dump());
    }
    std::uint64_t count = 0;
    {
        const std::scoped_lock lock(mutex_);
        count = ++runs_[std::string(request["Idempotency-Key"])];
    }
    std::this_thread::sleep_for(std::chrono::milliseconds(runMilliseconds_));
    responder.send(200, "application/json", nlohmann::json { { "runs", count } }.dump());
}

} // namespace Ibisturn::StandIns
