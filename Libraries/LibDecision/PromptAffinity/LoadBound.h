#pragma once

#include <LibCore/Clock.h>
#include <LibCore/Quantity.h>

#include <cstddef>
#include <cstdint>

namespace Ibisturn {

/// Bounds the load of each backend server of a region by a multiple of the mean load.
/// Thread safety: one thread at a time.
class LoadBound {
public:
    /// A server may have this multiple of the mean.
    static constexpr double maxOverMean = 1.25;

    /// Servers with at most `freeRequests` and `freeTokens` are never over the bound: where the load fits, differences delay nobody.
    explicit LoadBound(double freeRequests = 0, double freeTokens = 0)
        : freeRequests_(freeRequests)
        , freeTokens_(freeTokens)
    {
    }

    /// Adds a server to the mean. `factor` is how much longer its work takes than the average of the service. Precondition: factor > 0.
    void add(std::uint32_t requests, TokenCount unreadTokens, double factor);

    /// Whether a server with this load is over the bound.
    bool isExceededBy(std::uint32_t requests, TokenCount unreadTokens, double factor) const;

private:
    double freeRequests_;
    double freeTokens_;
    double requests_ { 0 };
    double unreadTokens_ { 0 };
    std::size_t servers_ { 0 };
};

} // namespace Ibisturn
