#include "EngineReports.h"

#include <utility>

#include <nlohmann/json.hpp>

namespace Ibisturn::StandIns {

namespace {

constexpr std::size_t maxEvents = 4096;

} // namespace

DelayedReport::DelayedReport(std::chrono::milliseconds lag)
    : lag_(lag)
{
}

void DelayedReport::set(std::string document)
{
    const std::scoped_lock lock(mutex_);
    pending_.push_back({ std::chrono::steady_clock::now() + lag_, std::move(document) });
}

std::string DelayedReport::get()
{
    const auto now = std::chrono::steady_clock::now();
    const std::scoped_lock lock(mutex_);
    while (!pending_.empty() && pending_.front().visibleFrom <= now) {
        visible_ = std::move(pending_.front().document);
        pending_.pop_front();
    }
    return visible_;
}

CacheEvents::CacheEvents(double lossProbability, std::uint64_t seed)
    : lossProbability_(lossProbability)
    , random_(seed)
{
}

void CacheEvents::recordStored(const std::string& prefix)
{
    const std::scoped_lock lock(mutex_);
    ++lastNumber_;
    if (std::uniform_real_distribution<double>()(random_) < lossProbability_)
        return;
    events_.push_back({ lastNumber_, prefix });
    if (events_.size() > maxEvents)
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
    return nlohmann::json { { "last", lastNumber_ }, { "events", std::move(list) } }.dump();
}

} // namespace Ibisturn::StandIns
