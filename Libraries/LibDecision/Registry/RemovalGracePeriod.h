#pragma once

#include <LibCore/Clock.h>

#include <cstdint>
#include <optional>

namespace Ibisturn {

/// How long a backend server or instance is still used after its entry was removed.
struct RemovalLimits {
    /// Tolerates an entry that is removed and written again at once. Together with the propagation delay of a change, it
    /// must be shorter than the time for which a leaving backend server keeps serving.
    Duration removalGrace { std::chrono::milliseconds(1200) };
    /// How long a backend server that has left without notice certainly serves, less the time to send a request. The removal
    /// of its entry may become known late, but it happened after the store last confirmed that the entry existed.
    Duration servingTime { std::chrono::milliseconds(2700) };
    /// The same after the store was unavailable: by then every running process has written its entry again.
    Duration recoveryGrace { std::chrono::milliseconds(2000) };
};

/// Decides how long a removed entry stays in use. While the store is unavailable, leases expire even though their owners
/// still run, so a removal seen then does not mean that the owner has ended.
/// Thread safety: one thread at a time.
class RemovalGracePeriod {
public:
    explicit RemovalGracePeriod(RemovalLimits limits);

    void setLimits(RemovalLimits limits) { limits_ = limits; }

    /// The store became unavailable.
    void onStoreUnavailable(TimePoint now);

    /// The store is available again and its entries have been applied.
    void onStoreAvailable(TimePoint now);

    /// A peer with a complete view of the store sent all its changes.
    void onPeerReport(TimePoint now) { peerReportedAt_ = now; }

    /// Whether an entry removed at `removedAt` is still in use. `regularGrace` applies while the store is available.
    bool isInGracePeriod(TimePoint removedAt, TimePoint now, Duration regularGrace) const;

    /// The regular grace period of a backend server whose removal became known at `now`, and whose entry the store last
    /// confirmed at `confirmedAt`; unset if it never has.
    Duration regularGrace(TimePoint now, const std::optional<TimePoint>& confirmedAt) const;

    /// How long an entry that the store has lost is still used: by then its owner has written it again.
    Duration recoveryGrace() const { return limits_.recoveryGrace; }

    /// Whether missing entries can be taken as removed: the store has been available for long enough.
    bool isViewComplete(TimePoint now) const;

    /// Since when the store has been unavailable; unset while it is available.
    const std::optional<TimePoint>& unavailableSince() const { return unavailableSince_; }

private:
    RemovalLimits limits_;
    std::optional<TimePoint> unavailableSince_;
    std::optional<TimePoint> availableSince_;
    std::optional<TimePoint> peerReportedAt_;
};

} // namespace Ibisturn
