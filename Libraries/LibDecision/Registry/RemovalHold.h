#pragma once

#include <LibCore/Clock.h>

#include <cstdint>
#include <optional>

namespace Ibisturn {

/// How long what an entry stands for is still used after the entry went.
struct RemovalLimits {
    /// So that an entry which comes back at once does no harm. It must end, with the time that a change takes to arrive,
    /// within the time that a leaving backend server serves on.
    Duration removalHold { std::chrono::milliseconds(1200) };
    /// The same after the store was away: by then those that live have written their entries again.
    Duration returnHold { std::chrono::milliseconds(2000) };
};

/// Decides whether an entry that went may be back: leases run out while the store is away, and then it is no end.
/// Thread safety: one thread at a time.
class RemovalHold {
public:
    explicit RemovalHold(RemovalLimits limits);

    /// Changes the limits.
    void setLimits(RemovalLimits limits) { limits_ = limits; }

    /// The store does not answer.
    void onStoreAway(TimePoint now);

    /// The store answers again and the entries it holds were taken in.
    void onStoreBack(TimePoint now);

    /// Another instance told all that it knows, and what it knows was settled.
    void onTold(TimePoint now) { toldAt_ = now; }

    /// Whether what an entry stood for that went at `removedAt` is still to be used. `ordinary` is how long it is while the
    /// store answers.
    bool isHeld(TimePoint removedAt, TimePoint now, Duration ordinary) const;

    /// As above, for a backend server.
    bool isHeld(TimePoint removedAt, TimePoint now) const { return isHeld(removedAt, now, limits_.removalHold); }

    /// Whether entries that are missing now are gone: the store answers, and has done so for long enough.
    bool isSettled(TimePoint now) const;

    /// Since when the store has not answered; nothing while it does.
    const std::optional<TimePoint>& awaySince() const { return awaySince_; }

private:
    RemovalLimits limits_;
    std::optional<TimePoint> awaySince_;
    std::optional<TimePoint> backSince_;
    std::optional<TimePoint> toldAt_;
};

} // namespace Ibisturn
