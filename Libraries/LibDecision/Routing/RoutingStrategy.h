#pragma once

#include <LibCore/Identifier.h>

#include <cstdint>
#include <span>
#include <vector>

namespace Ibisturn {

/// A backend server that may take a request, with its known load.
struct BackendCandidate {
    BackendServerId id;
    /// Unfinished requests that this instance has sent to it.
    std::uint32_t outstanding { 0 };
};

/// Chooses among the backend servers of one data centre. Strategies are interchangeable.
/// Thread safety: one thread at a time.
class RoutingStrategy {
public:
    virtual ~RoutingStrategy() = default;

    /// The index of the chosen candidate. `requestHash` distributes otherwise identical requests.
    /// Precondition: `candidates` is not empty.
    virtual std::size_t choose(std::span<const BackendCandidate> candidates, std::uint64_t requestHash) = 0;
};

} // namespace Ibisturn
