#pragma once

#include <LibConfiguration/Snapshot.h>
#include <LibCore/ResultCode.h>

#include <optional>

namespace Ibisturn {

/// Identifies the workspace and key of a request. It never contains the key itself.
struct RequestAccess {
    WorkspaceId workspace;
    /// Digest of the caller's key; nullopt for a request without a key on an open route.
    std::optional<KeyDigest> key;
};

/// Decides whether an admitted request may continue in region `here` under `snapshot`: its key still belongs to its
/// workspace, and the workspace still permits the region. Must be called before each request is sent and again for
/// each new snapshot, for waiting requests and running streams alike. Thread safety: any thread.
ResultCode decideAccess(const Snapshot& snapshot, const RegionId& here, const RequestAccess& access);

} // namespace Ibisturn
