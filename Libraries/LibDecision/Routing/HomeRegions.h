#pragma once

#include <LibConfiguration/Snapshot.h>
#include <LibDecision/Routing/RouteDemand.h>

#include <cstddef>
#include <map>
#include <optional>
#include <string_view>
#include <vector>

namespace Ibisturn {

/// The regions that may run a request; nullopt permits every region, an empty list none.
using HomeRegions = std::optional<std::vector<RegionId>>;

/// Whether `homeRegions` permit `region`. Thread safety: any thread.
bool permitsRegion(const HomeRegions& homeRegions, const RegionId& region);

/// The regions that both `left` and `right` permit. Thread safety: any thread.
HomeRegions intersectionOf(const HomeRegions& left, const HomeRegions& right);

/// The regions that may serve a request that arrives for `workspace` on `route`: the intersection of the regions that each permits.
/// Says nothing about a request that was accepted under another snapshot; see homeRegionsInForce().
/// Thread safety: any thread.
HomeRegions homeRegionsFor(const Snapshot& snapshot, const WorkspaceId& workspace, const RouteId& route);

/// The regions that may serve a request that was accepted with the home regions `accepted` and is still under way under `snapshot`, which may
/// have changed the regions, or no longer have the route or the workspace: those that were permitted then and are permitted now.
/// Thread safety: any thread.
HomeRegions homeRegionsInForce(const Snapshot& snapshot, const WorkspaceId& workspace, const RouteId& route, const HomeRegions& accepted);

/// Which regions the routes of one host permit, in terms of the weights of these routes.
struct HostRegions {
    /// The sum of the weights of all routes that have home regions; zero permits every region.
    std::size_t weight { 0 };
    /// The weights of those that permit a region; a region that none permits is missing.
    std::map<RegionId, std::size_t> permittedBy;

    /// Of a host about whose routes nothing is known. Any region may be outside the home regions of its requests, so no region counts as
    /// a home region. Thread safety: any thread.
    static HostRegions unknown() { return { 1, {} }; }
};

/// The regions that the routes of `host` permit. A route with home regions weighs as many as the requests that `demand` has for it, so one
/// that nobody asks for does not count: where its requests may run is irrelevant to callers who send none. If no request has been seen on
/// any of these routes, each weighs one. Routes without home regions do not count. HostRegions::unknown() if the host has no routes at all.
/// Thread safety: that of `demand`.
HostRegions regionsOfHost(const Snapshot& snapshot, std::string_view host, const RouteDemand& demand, TimePoint now);

} // namespace Ibisturn
