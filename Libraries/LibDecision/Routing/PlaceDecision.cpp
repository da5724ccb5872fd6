#include <LibDecision/Routing/PlaceDecision.h>

#include <LibDecision/Membership/EntryDirectory.h>
#include <LibDecision/Routing/HeadDecision.h>

#include <algorithm>
#include <set>

namespace Ibisturn {

namespace {

/// The backend servers of this data centre, and the other data centres, that may take the request.
struct Candidates {
    std::vector<BackendCandidate> local;
    std::set<DataCentreId> remoteDataCentres;
};

Candidates collectCandidates(const PlaceQuery& query)
{
    Candidates candidates;
    for (const auto& id : query.snapshot.backendServersOf(query.route.id)) {
        const auto* server = query.snapshot.findBackendServer(id);
        if (!server || !isPermittedRegion(query.snapshot, query.workspace, server->region))
            continue;
        if (query.membership.leavingBackendServers.contains(id))
            continue;
        if (server->dataCentre == query.here.dataCentre)
            candidates.local.push_back({ id, query.outstanding(id) });
        else
            candidates.remoteDataCentres.insert(server->dataCentre);
    }
    return candidates;
}

bool canForwardTo(const PlaceQuery& query, const Member& member, const std::set<DataCentreId>& dataCentres)
{
    return member.state != MemberState::Leaving && member.id != query.here.instance && dataCentres.contains(member.dataCentre)
        && isPermittedRegion(query.snapshot, query.workspace, member.region);
}

// Forwarding to a suspected instance is better than refusing the request: the attempt shows whether the instance has failed.
const Member* choosePeer(const PlaceQuery& query, const std::set<DataCentreId>& dataCentres)
{
    return findMember(query.membership, query.requestHash, [&](const Member& member) { return canForwardTo(query, member, dataCentres); });
}

} // namespace

const Route* findRouteFor(const Snapshot& snapshot, std::string_view path, const ModelName& model)
{
    const auto serves = [&](const Route& route) {
        return path.starts_with(route.pathPrefix) && (route.model.isEmpty() || route.model == model);
    };
    const auto found = std::find_if(snapshot.routes().begin(), snapshot.routes().end(), serves);
    return found == snapshot.routes().end() ? nullptr : &*found;
}

bool canUseRoute(const Route& route, const WorkspaceId& workspace)
{
    if (route.access == RouteAccess::Closed)
        return false;
    if (route.access == RouteAccess::OpenToAll)
        return true;
    if (workspace.isEmpty())
        return false;
    return route.workspaces.empty() || std::find(route.workspaces.begin(), route.workspaces.end(), workspace) != route.workspaces.end();
}

Place decidePlace(const PlaceQuery& query, RoutingStrategy& strategy)
{
    if (!isPermittedRegion(query.snapshot, query.workspace, query.here.region))
        return RefuseRequest { ResultCode::ResidencyRefused };
    const auto candidates = collectCandidates(query);
    if (!candidates.local.empty()) {
        const auto chosen = strategy.choose(candidates.local, query.requestHash);
        return RunHere { candidates.local.at(chosen).id };
    }
    if (query.hops == HopsLeft::None)
        return RefuseRequest { ResultCode::NoBackendServer };
    const auto* peer = choosePeer(query, candidates.remoteDataCentres);
    if (!peer)
        return RefuseRequest { ResultCode::NoBackendServer };
    return ForwardTo { peer->id };
}

} // namespace Ibisturn
