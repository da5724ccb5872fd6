#pragma once

#include <LibCore/Clock.h>
#include <LibCore/Quantity.h>

namespace Ibisturn {

/// Measures this instance's traffic over one link between regions relative to its share of the link.
/// Thread safety: one thread at a time.
class LinkMeter {
public:
    /// `bytesPerSecond` is this instance's share of the link's bandwidth.
    explicit LinkMeter(double bytesPerSecond);

    /// Records bytes that were sent or received.
    void add(TimePoint now, ByteCount bytes);

    /// The share in use, exponentially averaged over the last seconds; 1 means fully used.
    double utilisation(TimePoint now) const;

private:
    double decayedAverage(TimePoint now) const;

    double bytesPerSecond_;
    double averageBytes_ { 0 };
    TimePoint lastUpdate_ {};
};

} // namespace Ibisturn
