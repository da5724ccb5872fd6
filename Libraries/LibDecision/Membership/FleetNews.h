#pragma once

#include <LibDecision/Allowance/FleetAllowance.h>
#include <LibDecision/Configuration/ConfigurationMessages.h>
#include <LibDecision/Membership/MembershipView.h>
#include <LibDecision/Placement/PlacementTable.h>

#include <optional>
#include <vector>

namespace Ibisturn {

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
    std::vector<OwnLoad> loads;
    /// For instances of other regions.
    std::vector<RegionOutlook> outlooks;
    /// Asks for the store's changes after this revision, since the store can't be reached from here.
    std::optional<Revision> wishAfter;
    /// Changes of the store that the receiver asked for.
    std::vector<RecordChange> changes;
};

struct SendNews {
    InstanceId peer;
    FleetNews news;
};

} // namespace Ibisturn
