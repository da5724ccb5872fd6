#include <LibDecision/Streams/StreamLifetime.h>

#include <algorithm>

namespace Ibisturn {

namespace {

/// Callers resume a stream within moments of its end, whatever the timeout.
constexpr Duration minLifetime = std::chrono::seconds(6);

} // namespace

Duration streamLifetimeOf(const Snapshot& snapshot)
{
    Duration longest {};
    for (const auto& route : snapshot.routes()) {
        if (route.policy && route.policy->resume == ResumeSupport::Supported)
            longest = std::max(longest, route.policy->timeout);
    }
    return std::max(2 * longest, minLifetime);
}

} // namespace Ibisturn
