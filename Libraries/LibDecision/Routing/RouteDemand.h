#pragma once

#include <LibCore/Clock.h>
#include <LibCore/Identifier.h>

#include <cstddef>
#include <unordered_map>

namespace Ibisturn {

/// Counts the requests that the callers of one instance send on each route, over the last one to two windows. Routes without a request in
/// that time, among them those that the configuration no longer has, are dropped.
/// Thread safety: one thread at a time.
class RouteDemand {
public:
    static constexpr Duration window = std::chrono::seconds(30);

    /// Counts one request on `route`.
    void record(TimePoint now, const RouteId& route);

    /// The number of requests on `route` that are still counted.
    std::size_t requests(TimePoint now, const RouteId& route) const;

    /// The number of routes that are held.
    std::size_t size() const;

private:
    using Counts = std::unordered_map<RouteId, std::size_t>;

    void rotate(TimePoint now);

    /// Requests in the window that began at begin_, and in the one before it.
    Counts current_;
    Counts previous_;
    TimePoint begin_ {};
};

} // namespace Ibisturn
