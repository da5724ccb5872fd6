#pragma once

#include <LibCore/Clock.h>
#include <LibCore/Quantity.h>
#include <LibDecision/Membership/MembershipView.h>

#include <map>
#include <optional>

namespace Ibisturn {

enum class Reach : std::uint8_t {
    /// A round trip to the instance was completed.
    Answered,
    /// The instance did not answer in time or could not be connected to.
    Silent,
};

/// Decides which instances are to be used, from the live list, which lags, from what instances say of themselves, and
/// from what round trips show. Suspicion is first-hand, is never passed on, and ends by itself.
/// Thread safety: one thread at a time.
class MembershipTracker {
public:
    /// The live list was read.
    void onLiveList(MembershipView list);

    /// An instance said of itself that it serves or leaves. A later start of it takes that back.
    void onAnnouncement(const InstanceId& instance, Incarnation incarnation, MemberState state);

    /// A call or a heartbeat to an instance ended.
    void onReach(TimePoint now, const InstanceId& instance, Reach reach);

    /// Must be called each second. After a longer pause this process was frozen, and what it then saw time out says
    /// nothing of the others.
    void tick(TimePoint now);

    /// The instances as they are to be used.
    MembershipView view(TimePoint now) const;

private:
    struct Evidence {
        Incarnation incarnation;
        MemberState announced { MemberState::Live };
        /// The start that the live list called leaving; a later one is not meant.
        std::optional<Incarnation> leftByList;
        std::optional<TimePoint> suspectedUntil;
        std::uint32_t silences { 0 };
    };

    MembershipView list_;
    std::map<InstanceId, Evidence> evidence_;
    std::optional<TimePoint> lastTick_;
};

} // namespace Ibisturn
