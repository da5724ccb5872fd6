#include <LibDecision/Routing/LinkMeter.h>

#include <cmath>

namespace Ibisturn {

namespace {

constexpr std::chrono::duration<double> averagingTime { 2.0 };

} // namespace

LinkMeter::LinkMeter(double bytesPerSecond)
    : bytesPerSecond_(bytesPerSecond)
{
}

void LinkMeter::add(TimePoint now, ByteCount bytes)
{
    averageBytes_ = decayedAverage(now) + static_cast<double>(bytes.count());
    lastUpdate_ = now;
}

double LinkMeter::utilisation(TimePoint now) const
{
    return decayedAverage(now) / (bytesPerSecond_ * averagingTime.count());
}

double LinkMeter::decayedAverage(TimePoint now) const
{
    const std::chrono::duration<double> elapsed = now - lastUpdate_;
    return averageBytes_ * std::exp(-elapsed / averagingTime);
}

} // namespace Ibisturn
