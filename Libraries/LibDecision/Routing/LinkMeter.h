#pragma once

#include <LibCore/Clock.h>
#include <LibCore/Quantity.h>

namespace Ibisturn {

/// Meters what this instance sends over one link between regions, against its share of the link.
/// Thread safety: one thread at a time.
class LinkMeter {
public:
    /// `bytesPerSecond` is this instance's share of the link.
    explicit LinkMeter(double bytesPerSecond);

    /// Notes bytes that were sent or received.
    void add(TimePoint now, ByteCount bytes);

    /// The share in use, averaged over the last seconds; 1 is full.
    double utilisation(TimePoint now) const;

private:
    double decayed(TimePoint now) const;

    double bytesPerSecond_;
    double averageBytes_ { 0 };
    TimePoint last_ {};
};

} // namespace Ibisturn
