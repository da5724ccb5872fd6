#include <LibHTTP/Backends/LoadTable.h>

#include <mutex>

namespace Ibisturn {

void LoadTable::begin(const BackendServerId& server)
{
    const std::scoped_lock lock(lock_);
    ++outstanding_[server];
}

void LoadTable::end(const BackendServerId& server)
{
    const std::scoped_lock lock(lock_);
    const auto found = outstanding_.find(server);
    if (found == outstanding_.end())
        return;
    if (--found->second == 0)
        outstanding_.erase(found);
}

std::uint32_t LoadTable::outstanding(const BackendServerId& server) const
{
    const std::scoped_lock lock(lock_);
    const auto found = outstanding_.find(server);
    return found == outstanding_.end() ? 0 : found->second;
}

} // namespace Ibisturn
