#pragma once

#include <LibCore/Identifier.h>
#include <LibCore/OrderedMutex.h>

#include <cstdint>
#include <unordered_map>

namespace Ibisturn {

/// Counts the requests that this instance has under way on each backend server.
/// Thread safety: all methods from any thread.
class LoadTable {
public:
    /// Notes a request that is about to be sent. Precondition: the lock order permits this table.
    void begin(const BackendServerId& server);

    /// Notes its end. Precondition: begin() was called for it.
    void end(const BackendServerId& server);

    /// Requests under way. Precondition: the lock order permits this table.
    std::uint32_t outstanding(const BackendServerId& server) const;

private:
    mutable OrderedMutex lock_ { LockLevel::Load };
    std::unordered_map<BackendServerId, std::uint32_t> outstanding_;
};

} // namespace Ibisturn
