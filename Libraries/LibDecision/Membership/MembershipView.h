#pragma once

#include <LibConfiguration/Settings.h>
#include <LibCore/Quantity.h>

#include <memory>
#include <set>
#include <vector>

namespace Ibisturn {

enum class MemberState : std::uint8_t {
    Live,
    /// Shutting down; accepts no new requests.
    Leaving,
    /// Has not answered this instance recently; other instances may still reach it.
    Suspected,
};

/// An instance as the other instances see it.
struct Member {
    InstanceId id;
    RegionId region;
    DataCentreId dataCentre;
    Endpoint callers;
    Endpoint peers;
    MemberState state { MemberState::Live };
    /// The process that wrote the instance's entry; zero if unknown.
    Incarnation incarnation;
    /// Cores that the instance may use, which may be a fraction.
    double processorShare { 1 };
};

/// Immutable snapshot of the known instances and of the backend servers that are leaving.
struct MembershipView {
    /// Sorted by id.
    std::vector<Member> instances;
    std::set<BackendServerId> leavingBackendServers;
    /// Regions of which an instance has recently announced that it leaves. Those that left may be back shortly.
    std::set<RegionId> restartingRegions;
    /// Whether this process has run for long enough to know all restartingRegions.
    bool isSettled { true };

    /// The instance named `id`, or null. Thread safety: any thread.
    const Member* find(const InstanceId& id) const;
};

using MembershipPointer = std::shared_ptr<const MembershipView>;

} // namespace Ibisturn
