#include <LibDecision/Claims/IssuedKeyTable.h>

#include <utility>

namespace Ibisturn {

IssuedKeyTable::IssuedKeyTable(ClaimOwner self, std::size_t maxPerWorkspace)
    : self_(std::move(self))
    , maxPerWorkspace_(maxPerWorkspace)
{
}

IdempotencyKey IssuedKeyTable::issue(const WorkspaceId& workspace)
{
    auto& serials = unused_[workspace];
    serials.insert(++lastSerial_);
    if (serials.size() > maxPerWorkspace_)
        serials.erase(serials.begin());
    return formatIssuedKey({ self_, lastSerial_ });
}

bool IssuedKeyTable::redeem(const WorkspaceId& workspace, const IssuedKey& key)
{
    const auto serials = unused_.find(workspace);
    return serials != unused_.end() && serials->second.erase(key.serial) > 0;
}

} // namespace Ibisturn
