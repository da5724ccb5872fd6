#include "EngineReports.h"

#include <utility>

#include <nlohmann/json.hpp>

namespace Ibisturn::StandIns {

namespace {

constexpr std::size_t mostEvents = 4096;

} // namespace

LaggingReport::LaggingReport(std::chrono::milliseconds lag)
    : lag_(lag)
{
}

void LaggingReport::set(std::string document)
{
    const std::scoped_lock lock(mutex_);
    pending_.push_back({ std::chrono::steady_clock::now() + lag_, std::move(document) });
}

std::string LaggingReport::get()
{
    const auto now = std::chrono::steady_clock::now();
    const std::scoped_lock lock(mutex_);
    while (!pending_.empty() && pending_.front().shownFrom <= now) {
        shown_ = std::move(pending_.front().document);
        pending_.pop_front();
    }
    return shown_;
}

CacheEvents::CacheEvents(double lossShare, std::uint64_t seed)
    : lossShare_(lossShare)
    , random_(seed)
{
}

void CacheEvents::stored(const std::string& prefix)
{
    const std::scoped_lock lock(mutex_);
    ++last_;
    if (std::uniform_real_distribution<double>()(random_) < lossShare_)
        return;
    events_.push_back({ last_, prefix });
    if (events_.size() > mostEvents)
        events_.pop_front();
}

std::string CacheEvents::since(std::uint64_t after) const
{
    const std::scoped_lock lock(mutex_);
    auto list = nlohmann::json::array();
    for (const auto& event : events_) {
        if (event.number > after)
            list.push_back({ { "number", event.number }, { "type", "stored" }, { "prefix", event.prefix } });
    }
    return nlohmann::json { { "last", last_ }, { "events", std::move(list) } }.dump();
}

} // namespace Ibisturn::StandIns
