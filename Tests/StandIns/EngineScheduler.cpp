#include "EngineScheduler.h"

#include <algorithm>

namespace Ibisturn::StandIns {

EngineScheduler::EngineScheduler(std::uint32_t slots)
    : slots_(slots)
{
}

void EngineScheduler::acquire(std::int64_t priority)
{
    std::unique_lock lock(mutex_);
    const Ticket ticket { priority, ++lastTicket_ };
    queue_.insert(ticket);
    changed_.wait(lock, [&] { return running_ < slots_ && *queue_.begin() == ticket; });
    queue_.erase(ticket);
    ++running_;
    changed_.notify_all();
}

void EngineScheduler::release()
{
    const std::scoped_lock lock(mutex_);
    --running_;
    changed_.notify_all();
}

std::uint32_t EngineScheduler::running() const
{
    const std::scoped_lock lock(mutex_);
    return running_;
}

std::uint32_t EngineScheduler::waiting() const
{
    const std::scoped_lock lock(mutex_);
    return static_cast<std::uint32_t>(queue_.size());
}

EnginePrefixCache::EnginePrefixCache(std::size_t capacity)
    : capacity_(capacity)
{
}

bool EnginePrefixCache::touch(const std::string& prefix)
{
    const std::scoped_lock lock(mutex_);
    const auto found = std::find(prefixes_.begin(), prefixes_.end(), prefix);
    const bool isHit = found != prefixes_.end();
    if (isHit)
        prefixes_.erase(found);
    prefixes_.push_front(prefix);
    if (prefixes_.size() > capacity_)
        prefixes_.pop_back();
    return isHit;
}

} // namespace Ibisturn::StandIns
