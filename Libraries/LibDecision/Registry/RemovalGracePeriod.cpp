#include <LibDecision/Registry/RemovalGracePeriod.h>

#include <algorithm>

namespace Ibisturn {

namespace {

/// Shorter outages end no lease: entries are renewed every 1.2 s and expire 3.6 s after a renewal, so a lease has at least
/// 2.4 s left when an outage begins, and 2 s of these pass before the outage is detected.
constexpr Duration minOutage = std::chrono::milliseconds(400);

} // namespace

RemovalGracePeriod::RemovalGracePeriod(RemovalLimits limits)
    : limits_(limits)
{
}

void RemovalGracePeriod::onStoreUnavailable(TimePoint now)
{
    if (!unavailableSince_)
        unavailableSince_ = now;
}

void RemovalGracePeriod::onStoreAvailable(TimePoint now)
{
    if (!unavailableSince_)
        return;
    // A single lost reply ends no lease and must not extend the use of removed entries.
    if (now - *unavailableSince_ >= minOutage)
        availableSince_ = now;
    unavailableSince_.reset();
}

Duration RemovalGracePeriod::regularGrace(TimePoint now, const std::optional<TimePoint>& confirmedAt) const
{
    if (!confirmedAt)
        return limits_.removalGrace;
    return std::clamp<Duration>(*confirmedAt + limits_.servingTime - now, Duration::zero(), limits_.removalGrace);
}

bool RemovalGracePeriod::isInGracePeriod(TimePoint removedAt, TimePoint now, Duration regularGrace) const
{
    if (unavailableSince_ && removedAt >= *unavailableSince_ - limits_.recoveryGrace)
        return !peerReportedAt_ || *peerReportedAt_ < removedAt + limits_.recoveryGrace;
    if (availableSince_ && removedAt <= *availableSince_ + limits_.recoveryGrace)
        return now < *availableSince_ + limits_.recoveryGrace;
    return now < removedAt + regularGrace;
}

bool RemovalGracePeriod::isViewComplete(TimePoint now) const
{
    return !unavailableSince_ && (!availableSince_ || now >= *availableSince_ + limits_.recoveryGrace);
}

} // namespace Ibisturn
