#pragma once

#include <LibCore/Identifier.h>

#include <cstdint>
#include <span>
#include <vector>

namespace Ibisturn {

/// A backend server that may take a request, with what is known of its load.
struct BackendCandidate {
    BackendServerId id;
    /// Requests that this instance has handed to it and that are not finished.
    std::uint32_t outstanding { 0 };
};

/// Chooses among backend servers of one data centre. Strategies are plug-ins.
/// Thread safety: one thread at a time.
class RoutingStrategy {
public:
    virtual ~RoutingStrategy() = default;

    /// The index of the chosen candidate. `requestHash` spreads requests that are otherwise alike.
    /// Precondition: `candidates` is not empty.
    virtual std::size_t choose(std::span<const BackendCandidate> candidates, std::uint64_t requestHash) = 0;
};

} // namespace Ibisturn
