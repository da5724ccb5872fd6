#include <LibConfiguration/Snapshot.h>

#include <algorithm>

namespace Ibisturn {

namespace {

template <typename Map, typename Id>
const typename Map::mapped_type* findIn(const Map& map, const Id& id)
{
    const auto found = map.find(id);
    return found == map.end() ? nullptr : &found->second;
}

std::string routeKey(std::string_view host, std::string_view pathPrefix)
{
    return fmt::format("{} {}", host, pathPrefix);
}

std::string labelOf(std::string_view kind, std::string_view name)
{
    return fmt::format("{}/{}", kind, name);
}

} // namespace

Snapshot::Snapshot(Revision revision, const std::vector<Record>& records, Revision lastChange)
    : revision_(revision)
    , lastChange_(lastChange)
    , recordCount_(records.size())
{
    for (const auto& record : records) {
        lastChange_ = std::max(lastChange_, record.revision);
        const auto addBody = [this, &record](const auto& body) {
            if constexpr (std::is_same_v<std::decay_t<decltype(body)>, UnknownRecord>)
                addUnknown(record, body);
            else
                add(body);
        };
        std::visit(addBody, record.body);
    }
    const auto isMoreSpecific = [](const Route& left, const Route& right) {
        if (left.pathPrefix.size() != right.pathPrefix.size())
            return left.pathPrefix.size() > right.pathPrefix.size();
        const bool isLeftClosed = left.access == RouteAccess::Closed;
        const bool isRightClosed = right.access == RouteAccess::Closed;
        if (isLeftClosed != isRightClosed)
            return isLeftClosed;
        return left.id < right.id;
    };
    std::sort(routes_.begin(), routes_.end(), isMoreSpecific);
    for (std::size_t index = 0; index < routes_.size(); ++index) {
        routesById_.emplace(routes_[index].id, index);
        if (routes_[index].policy)
            routesByHostAndPrefix_.emplace(routeKey(routes_[index].policy->host, routes_[index].pathPrefix), index);
    }
    for (auto& [route, servers] : backendServersByRoute_)
        std::sort(servers.begin(), servers.end());
}

const Workspace* Snapshot::findWorkspace(const WorkspaceId& id) const
{
    return findIn(workspaces_, id);
}

const Key* Snapshot::findKey(const KeyDigest& digest) const
{
    return findIn(keys_, digest);
}

const ResidencyRule* Snapshot::findResidencyRule(const ResidencyRuleId& id) const
{
    return findIn(residencyRules_, id);
}

const Route* Snapshot::findRoute(const RouteId& id) const
{
    const auto* index = findIn(routesById_, id);
    return index ? &routes_[*index] : nullptr;
}

const BackendServer* Snapshot::findBackendServer(const BackendServerId& id) const
{
    return findIn(backendServers_, id);
}

const Service* Snapshot::findService(const ServiceId& id) const
{
    return findIn(services_, id);
}

// Prefixes end with a slash, so each slash of the path ends a candidate prefix; the longest is tried first.
const Route* Snapshot::findRouteByHostAndPath(std::string_view host, std::string_view path) const
{
    auto end = path.size();
    while (end > 0) {
        const auto slash = path.rfind('/', end - 1);
        if (slash == std::string_view::npos)
            return nullptr;
        const auto found = routesByHostAndPrefix_.find(routeKey(host, path.substr(0, slash + 1)));
        if (found != routesByHostAndPrefix_.end())
            return &routes_[found->second];
        end = slash;
    }
    return nullptr;
}

bool Snapshot::hasUnknownSchema(std::string_view kind, std::string_view name) const
{
    return unknownSchemaLabels_.contains(labelOf(kind, name));
}

const std::vector<BackendServerId>& Snapshot::backendServersOf(const RouteId& route) const
{
    static const std::vector<BackendServerId> none;
    const auto* servers = findIn(backendServersByRoute_, route);
    return servers ? *servers : none;
}

const std::vector<RegionId>* Snapshot::permittedRegions(const WorkspaceId& workspace) const
{
    const auto* found = findWorkspace(workspace);
    if (!found)
        return nullptr;
    const auto* rule = findResidencyRule(found->residency);
    return rule ? &rule->regions : nullptr;
}

// Without a closed route, requests for a route of an unknown schema would match another, broader route.
void Snapshot::addUnknown(const Record& record, const UnknownRecord& body)
{
    unknownSchemaLabels_.insert(labelOf(record.kind, record.name));
    if (record.kind != "routes")
        return;
    Route route;
    route.id = RouteId(record.name);
    route.pathPrefix = body.pathPrefix;
    route.model = body.model;
    route.access = RouteAccess::Closed;
    routes_.push_back(std::move(route));
}

void Snapshot::add(const Workspace& workspace)
{
    workspaces_.emplace(workspace.id, workspace);
}

void Snapshot::add(const Key& key)
{
    keys_.emplace(key.digest, key);
}

void Snapshot::add(const ResidencyRule& rule)
{
    residencyRules_.emplace(rule.id, rule);
}

void Snapshot::add(const Route& route)
{
    routes_.push_back(route);
}

void Snapshot::add(const Service& service)
{
    services_.emplace(service.id, service);
}

void Snapshot::add(const BackendServer& server)
{
    backendServers_.emplace(server.id, server);
    for (const auto& route : server.routes)
        backendServersByRoute_[route].push_back(server.id);
}

} // namespace Ibisturn
