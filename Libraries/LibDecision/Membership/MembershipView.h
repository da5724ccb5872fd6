#pragma once

#include <LibConfiguration/Settings.h>

#include <memory>
#include <set>
#include <vector>

namespace Ibisturn {

enum class MemberState : std::uint8_t {
    Live,
    /// It shuts down and takes nothing new.
    Leaving,
    /// It did not answer this instance lately; others may still reach it.
    Suspected,
};

/// An instance of the system as the others see it.
struct Member {
    InstanceId id;
    RegionId region;
    DataCentreId dataCentre;
    Endpoint callers;
    Endpoint peers;
    MemberState state { MemberState::Live };
};

/// The instances and the leaving backend servers as known at one moment. It never changes.
struct MembershipView {
    /// Sorted by id.
    std::vector<Member> instances;
    std::set<BackendServerId> leavingBackendServers;

    /// The instance named `id`, or null. Thread safety: any thread.
    const Member* find(const InstanceId& id) const;
};

using MembershipPointer = std::shared_ptr<const MembershipView>;

} // namespace Ibisturn
