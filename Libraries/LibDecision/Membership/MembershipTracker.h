#pragma once

#include <LibCore/Clock.h>
#include <LibCore/Quantity.h>
#include <LibDecision/Membership/MembershipView.h>

#include <map>
#include <optional>

namespace Ibisturn {

enum class Reachability : std::uint8_t {
    /// A round trip to the instance was completed.
    Reachable,
    /// The instance did not answer in time or could not be connected to.
    Unreachable,
};

/// Decides which instances to use, from the live list (which lags), the instances' own announcements, and the outcome of
/// round trips. An instance suspects others only from its own observations, never reports suspicions to peers, and
/// suspicions expire.
/// Thread safety: one thread at a time.
class MembershipTracker {
public:
    /// Replaces the live list.
    void onLiveList(MembershipView list);

    /// An instance announced that it is live or leaving. A new incarnation supersedes the announcement.
    void onAnnouncement(const InstanceId& instance, Incarnation incarnation, MemberState state);

    /// A call or a heartbeat to an instance ended.
    void onReachability(TimePoint now, const InstanceId& instance, Reachability reachability);

    /// Must be called once a second, and after each change of the live list. If much more time has passed, this process was suspended:
    /// timeouts that it then observed say nothing about the other instances, so all suspicions are cleared.
    void tick(TimePoint now);

    /// The instances with their current states.
    MembershipView view(TimePoint now) const;

private:
    struct Evidence {
        Incarnation incarnation;
        MemberState announced { MemberState::Live };
        /// The incarnation that the live list reports as leaving; later incarnations are not affected.
        std::optional<Incarnation> leavingByList;
        /// The process that wrote the entry in the live list.
        Incarnation listed;
        std::optional<TimePoint> suspectedUntil;
        std::uint32_t failures { 0 };
    };

    MembershipView list_;
    std::map<InstanceId, Evidence> evidence_;
    std::optional<TimePoint> lastTick_;
    /// Until when instances of a region that announced that they leave may be back.
    std::map<RegionId, TimePoint> restartingUntil_;
    /// Unset before the first tick.
    std::optional<TimePoint> settledFrom_;
};

} // namespace Ibisturn
