#pragma once

#include <LibDecision/Claims/IssuedKey.h>

#include <cstddef>
#include <map>
#include <set>

namespace Ibisturn {

/// The keys that this life of an instance issued and that nobody used yet.
/// Thread safety: one thread at a time.
class IssuedKeyTable {
public:
    /// Precondition: `mostPerWorkspace` is positive; older keys are dropped above it.
    IssuedKeyTable(ClaimOwner self, std::size_t mostPerWorkspace);

    /// Issues a key to `workspace`. Precondition: none.
    IdempotencyKey issue(const WorkspaceId& workspace);

    /// Uses a key up; false if it was not issued to `workspace`, was used or was dropped.
    /// Precondition: `key` names this life of the instance.
    bool redeem(const WorkspaceId& workspace, const IssuedKey& key);

private:
    ClaimOwner self_;
    std::size_t mostPerWorkspace_;
    std::uint64_t lastSerial_ { 0 };
    std::map<WorkspaceId, std::set<std::uint64_t>> unused_;
};

} // namespace Ibisturn
