#include <LibDecision/Registry/RemovalHold.h>

namespace Ibisturn {

namespace {

/// Leases survive shorter outages: entries are renewed every 1.2 s and expire after three times as long, and it takes 2 s
/// to detect that the store does not answer.
constexpr Duration shortestLapse = std::chrono::milliseconds(400);

} // namespace

RemovalHold::RemovalHold(RemovalLimits limits)
    : limits_(limits)
{
}

void RemovalHold::onStoreAway(TimePoint now)
{
    if (!awaySince_)
        awaySince_ = now;
}

void RemovalHold::onStoreBack(TimePoint now)
{
    if (!awaySince_)
        return;
    // A single lost reply ends no lease and must not extend the use of removed entries.
    if (now - *awaySince_ >= shortestLapse)
        backSince_ = now;
    awaySince_.reset();
}

bool RemovalHold::isHeld(TimePoint removedAt, TimePoint now, Duration ordinary) const
{
    if (awaySince_ && removedAt >= *awaySince_ - limits_.returnHold)
        return !toldAt_ || *toldAt_ < removedAt + limits_.returnHold;
    if (backSince_ && removedAt <= *backSince_ + limits_.returnHold)
        return now < *backSince_ + limits_.returnHold;
    return now < removedAt + ordinary;
}

bool RemovalHold::isSettled(TimePoint now) const
{
    return !awaySince_ && (!backSince_ || now >= *backSince_ + limits_.returnHold);
}

} // namespace Ibisturn
