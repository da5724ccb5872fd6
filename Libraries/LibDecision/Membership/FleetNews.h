#pragma once

#include <LibDecision/Allowance/FleetAllowance.h>
#include <LibDecision/Configuration/ConfigurationMessages.h>
#include <LibDecision/Membership/MembershipView.h>
#include <LibDecision/Placement/PlacementTable.h>

#include <optional>
#include <vector>

namespace Ibisturn {

/// What an instance that tells others of the store knows of it.
enum class PeerView : std::uint8_t {
    /// All that the store has: what is missing there is gone.
    Settled,
    /// The store does not answer it either, or only since a moment ago.
    Partial,
};

/// What an instance of a fleet tells another one, several times a second.
struct FleetNews {
    Incarnation incarnation;
    MemberState state { MemberState::Live };
    /// How long ago the receiver was heard; nothing if never.
    std::optional<Duration> heardAgo;
    /// How long the process has run.
    Duration runsFor {};
    std::vector<AllowanceDemand> demands;
    /// For instances of the same region.
    std::vector<InstanceLoad> loads;
    /// For instances of other regions.
    std::vector<RegionWaitEstimate> outlooks;
    /// Asks for the store's changes after these revisions, one for each prefix that is followed, since the store can't be
    /// reached from here. Empty if nothing is asked.
    std::vector<Revision> wishAfter;
    /// Changes of the store that the receiver asked for, and what the sender knows of it; nothing if it did not ask.
    std::vector<RecordChange> changes;
    std::optional<PeerView> changesView;
};

struct SendNews {
    InstanceId peer;
    FleetNews news;
};

} // namespace Ibisturn
