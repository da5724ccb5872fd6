#include "StandInLiveList.h"

#include <utility>

namespace Ibisturn::StandIns {

StandInLiveList::StandInLiveList(std::string json, std::chrono::milliseconds lag)
    : lag_(lag)
    , visible_(std::move(json))
{
}

void StandInLiveList::handle(const HttpRequest& request, Responder& responder)
{
    const auto now = std::chrono::steady_clock::now();
    const std::scoped_lock lock(mutex_);
    if (request.method() == boost::beast::http::verb::put) {
        pending_.push_back({ now + lag_, request.body() });
        return responder.send(200, "application/json", "{}");
    }
    while (!pending_.empty() && pending_.front().visibleFrom <= now) {
        visible_ = std::move(pending_.front().json);
        pending_.pop_front();
    }
    responder.send(200, "application/json", visible_);
}

} // namespace Ibisturn::StandIns
