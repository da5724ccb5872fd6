#pragma once

#include <LibConfiguration/Snapshot.h>
#include <LibCore/ResultCode.h>

#include <optional>

namespace Ibisturn {

/// Who a request runs for. It never holds the key itself.
struct RequestAccess {
    WorkspaceId workspace;
    /// Digest of the caller's key; nothing for a request without a key on an open route.
    std::optional<KeyDigest> key;
};

/// Whether an admitted request may go on in region `here` under `snapshot`: its key is still that of its
/// workspace, and the workspace still permits the region. To be asked before each hand-over and again for
/// each new snapshot, for waiting requests and running streams alike. Thread safety: any thread.
ResultCode decideAccess(const Snapshot& snapshot, const RegionId& here, const RequestAccess& access);

} // namespace Ibisturn
