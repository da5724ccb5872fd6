#pragma once

#include <LibDecision/Claims/IssuedKey.h>

#include <cstddef>
#include <map>
#include <set>

namespace Ibisturn {

/// The keys issued by this incarnation of an instance that have not been used yet.
/// Thread safety: one thread at a time.
class IssuedKeyTable {
public:
    /// Beyond `maxPerWorkspace` keys, the oldest are dropped. Precondition: it is positive.
    IssuedKeyTable(ClaimOwner self, std::size_t maxPerWorkspace);

    /// Issues a key to `workspace`.
    IdempotencyKey issue(const WorkspaceId& workspace);

    /// Marks a key as used; false if it was not issued to `workspace`, was already used or was dropped.
    /// Precondition: `key` names this incarnation of the instance.
    bool redeem(const WorkspaceId& workspace, const IssuedKey& key);

private:
    ClaimOwner self_;
    std::size_t maxPerWorkspace_;
    std::uint64_t lastSerial_ { 0 };
    std::map<WorkspaceId, std::set<std::uint64_t>> unused_;
};

} // namespace Ibisturn
