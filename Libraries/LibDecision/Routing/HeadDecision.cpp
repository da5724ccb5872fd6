#include <LibDecision/Routing/HeadDecision.h>

#include <algorithm>

namespace Ibisturn {

namespace {

bool isOpenPath(const Snapshot& snapshot, const std::string& path)
{
    // Routes are ordered from the longest path prefix on; a route whose schema version is unknown is closed, and also
    // closes the shorter prefixes after it.
    const auto decides = [&path](const Route& route) {
        return route.access != RouteAccess::Workspaces && path.starts_with(route.pathPrefix);
    };
    const auto found = std::find_if(snapshot.routes().begin(), snapshot.routes().end(), decides);
    return found != snapshot.routes().end() && found->access == RouteAccess::OpenToAll;
}

bool hasUnknownRecord(const Snapshot& snapshot, const WorkspaceId& workspace)
{
    if (snapshot.hasUnknownSchema("workspaces", workspace.value()))
        return true;
    const auto* found = snapshot.findWorkspace(workspace);
    return found && snapshot.hasUnknownSchema("residency", found->residency.value());
}

void intersectWith(std::vector<RegionId>& regions, const std::vector<RegionId>& others)
{
    std::erase_if(regions, [&others](const RegionId& region) { return std::find(others.begin(), others.end(), region) == others.end(); });
}

} // namespace

HeadDecision decideHead(const Snapshot& snapshot, const RegionId& ownRegion, const RequestHead& head)
{
    if (!head.key)
        return { isOpenPath(snapshot, head.path) ? ResultCode::Ok : ResultCode::KeyMissing, {} };
    const auto* key = snapshot.findKey(*head.key);
    if (!key)
        return { snapshot.hasUnknownSchema("keys", head.key->value()) ? ResultCode::RecordSchemaUnknown : ResultCode::KeyUnknown, {} };
    if (hasUnknownRecord(snapshot, key->workspace))
        return { ResultCode::RecordSchemaUnknown, key->workspace };
    if (!isPermittedRegion(snapshot, key->workspace, ownRegion))
        return { ResultCode::ResidencyRefused, key->workspace };
    return { ResultCode::Ok, key->workspace };
}

std::optional<std::vector<RegionId>> homeRegionsFor(const Snapshot& snapshot, const WorkspaceId& workspace, const RouteId& route)
{
    const auto* found = snapshot.findRoute(route);
    std::optional<std::vector<RegionId>> homeRegions;
    if (found && found->policy && !found->policy->homeRegions.empty())
        homeRegions = found->policy->homeRegions;
    const auto* owner = snapshot.findWorkspace(workspace);
    if (!owner || owner->scope == ResidencyScope::Everywhere)
        return homeRegions;
    const auto* permitted = snapshot.permittedRegions(workspace);
    if (!permitted)
        return std::vector<RegionId>();
    if (!homeRegions)
        return *permitted;
    intersectWith(*homeRegions, *permitted);
    return homeRegions;
}

std::optional<std::vector<RegionId>> homeRegionsOfHost(const Snapshot& snapshot, std::string_view host)
{
    std::optional<std::vector<RegionId>> homeRegions;
    for (const auto& route : snapshot.routes()) {
        if (!route.policy || route.policy->host != host || route.policy->homeRegions.empty())
            continue;
        if (homeRegions)
            intersectWith(*homeRegions, route.policy->homeRegions);
        else
            homeRegions = route.policy->homeRegions;
    }
    return homeRegions;
}

bool isPermittedRegion(const Snapshot& snapshot, const WorkspaceId& workspace, const RegionId& region)
{
    if (workspace.isEmpty())
        return true;
    const auto* found = snapshot.findWorkspace(workspace);
    if (found && found->scope == ResidencyScope::Everywhere)
        return true;
    const auto* regions = snapshot.permittedRegions(workspace);
    return regions && std::find(regions->begin(), regions->end(), region) != regions->end();
}

} // namespace Ibisturn
