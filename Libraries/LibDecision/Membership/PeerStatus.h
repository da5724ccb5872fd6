#pragma once

#include <LibDecision/Allowance/FleetAllowance.h>
#include <LibDecision/Configuration/ConfigurationMessages.h>
#include <LibDecision/Membership/MembershipView.h>
#include <LibDecision/Placement/PlacementTable.h>

#include <optional>
#include <vector>

namespace Ibisturn {

/// How complete the sender's view of the store is.
enum class StoreView : std::uint8_t {
    /// Complete: entries that are missing have been removed.
    Complete,
    /// The sender can't reach the store either, or could not until a moment ago.
    Partial,
};

/// Status that an instance of a fleet sends to another one several times a second.
struct PeerStatus {
    Incarnation incarnation;
    MemberState state { MemberState::Live };
    /// Time since the sender last received a message from the receiver; unset if it never has.
    std::optional<Duration> lastReceivedAgo;
    /// Uptime of the process.
    Duration uptime {};
    std::vector<AllowanceDemand> demands;
    /// For instances of the same region.
    std::vector<InstanceLoad> loads;
    /// For instances of other regions.
    std::vector<RegionWaitEstimate> waitEstimates;
    /// Requests the store's changes after these revisions, one for each followed prefix, because the sender can't reach the
    /// store. Empty if nothing is requested.
    std::vector<Revision> requestAfter;
    /// The store's changes that the receiver requested, and how complete the sender's view is; unset if it requested none.
    std::vector<RecordChange> changes;
    std::optional<StoreView> storeView;
};

struct SendPeerStatus {
    InstanceId peer;
    PeerStatus status;
};

} // namespace Ibisturn
