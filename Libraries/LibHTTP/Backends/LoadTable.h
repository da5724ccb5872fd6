#pragma once

#include <LibCore/Identifier.h>
#include <LibCore/OrderedMutex.h>

#include <cstdint>
#include <unordered_map>

namespace Ibisturn {

/// Counts the requests of this instance that are in flight on each backend server.
/// Thread safety: all methods from any thread.
class LoadTable {
public:
    /// Counts a request that is about to be sent. Precondition: the lock order permits this table.
    void begin(const BackendServerId& server);

    /// Removes a request from the count. Precondition: begin() was called for it.
    void end(const BackendServerId& server);

    /// The number of requests in flight. Precondition: the lock order permits this table.
    std::uint32_t outstanding(const BackendServerId& server) const;

private:
    mutable OrderedMutex lock_ { LockLevel::Load };
    std::unordered_map<BackendServerId, std::uint32_t> outstanding_;
};

} // namespace Ibisturn
