#include <LibPlatform/StatusIntervalLimits.h>

#include <algorithm>

namespace Ibisturn {

Duration statusInterval(const StatusIntervalLimits& limits, std::size_t peers)
{
    if (peers <= limits.maxPeersAtMin)
        return limits.min;
    const double scale = static_cast<double>(peers) / static_cast<double>(limits.maxPeersAtMin);
    const auto interval = std::chrono::duration_cast<Duration>(std::chrono::duration<double>(limits.min) * scale);
    return std::min(interval, limits.max);
}

} // namespace Ibisturn
