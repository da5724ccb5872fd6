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
