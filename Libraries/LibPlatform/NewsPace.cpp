#include <LibPlatform/NewsPace.h>

#include <algorithm>

namespace Ibisturn {

Duration newsPeriod(const NewsPace& pace, std::size_t peers)
{
    if (peers <= pace.fewPeers)
        return pace.shortest;
    const double crowding = static_cast<double>(peers) / static_cast<double>(pace.fewPeers);
    const auto period = std::chrono::duration_cast<Duration>(std::chrono::duration<double>(pace.shortest) * crowding);
    return std::min(period, pace.longest);
}

} // namespace Ibisturn
