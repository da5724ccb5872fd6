#include <LibDecision/Routing/HomeRegions.h>

#include <algorithm>

namespace Ibisturn {

namespace {

bool contains(const std::vector<RegionId>& regions, const RegionId& region)
{
    return std::find(regions.begin(), regions.end(), region) != regions.end();
}

void addRoute(HostRegions& regions, const Route& route, std::size_t weight)
{
    regions.weight += weight;
    for (const auto& region : route.policy->homeRegions)
        regions.permittedBy[region] += weight;
}

} // namespace

bool permitsRegion(const HomeRegions& homeRegions, const RegionId& region)
{
    return !homeRegions || contains(*homeRegions, region);
}

HomeRegions intersectionOf(const HomeRegions& left, const HomeRegions& right)
{
    if (!left || !right)
        return left ? left : right;
    auto common = *left;
    std::erase_if(common, [&right](const RegionId& region) { return !contains(*right, region); });
    return common;
}

HomeRegions homeRegionsFor(const Snapshot& snapshot, const WorkspaceId& workspace, const RouteId& route)
{
    const auto* found = snapshot.findRoute(route);
    HomeRegions homeRegions;
    if (found && found->policy && !found->policy->homeRegions.empty())
        homeRegions = found->policy->homeRegions;
    const auto* owner = snapshot.findWorkspace(workspace);
    if (!owner || owner->scope == ResidencyScope::Everywhere)
        return homeRegions;
    const auto* permitted = snapshot.permittedRegions(workspace);
    return intersectionOf(homeRegions, permitted ? *permitted : std::vector<RegionId>());
}

HomeRegions homeRegionsInForce(const Snapshot& snapshot, const WorkspaceId& workspace, const RouteId& route, const HomeRegions& accepted)
{
    return intersectionOf(accepted, homeRegionsFor(snapshot, workspace, route));
}

HostRegions regionsOfHost(const Snapshot& snapshot, std::string_view host, const RouteDemand& demand, TimePoint now)
{
    HostRegions byRequests;
    HostRegions byRoutes;
    bool isKnown = false;
    for (const auto& route : snapshot.routes()) {
        if (!route.policy || route.policy->host != host)
            continue;
        isKnown = true;
        if (route.policy->homeRegions.empty())
            continue;
        addRoute(byRoutes, route, 1);
        if (const auto requests = demand.requests(now, route.id); requests > 0)
            addRoute(byRequests, route, requests);
    }
    if (!isKnown)
        return HostRegions::unknown();
    return byRequests.weight > 0 ? byRequests : byRoutes;
}

} // namespace Ibisturn
