#pragma once

#include <LibConfiguration/Records.h>

#include <memory>
#include <set>
#include <unordered_map>
#include <vector>

namespace Ibisturn {

/// The complete configuration at one revision of the store, compiled for lookups. It is immutable.
/// Thread safety: all methods from any thread.
class Snapshot {
public:
    /// Compiles `records`, the complete set of records at `revision`. Records of unknown schema versions are marked as such.
    /// `lastChange` is the latest known change; the revisions of the records themselves are always included.
    /// Precondition: the records' kinds and names are distinct.
    Snapshot(Revision revision, const std::vector<Record>& records, Revision lastChange = Revision(0));

    /// The store revision of this snapshot.
    Revision revision() const { return revision_; }

    /// The latest known revision at which a record changed. Other writes to the store advance only revision(), so this
    /// is the revision that another instance must have reached to have the same configuration.
    Revision lastChange() const { return lastChange_; }

    /// Lookups by id; null if there is no such record of a supported schema version.
    const Workspace* findWorkspace(const WorkspaceId& id) const;
    const Key* findKey(const KeyDigest& digest) const;
    const ResidencyRule* findResidencyRule(const ResidencyRuleId& id) const;
    const Route* findRoute(const RouteId& id) const;
    const BackendServer* findBackendServer(const BackendServerId& id) const;
    const Service* findService(const ServiceId& id) const;

    /// The route with a policy for this host whose prefix is the longest match of `path`; null if there is none.
    const Route* findRouteByHostAndPath(std::string_view host, std::string_view path) const;

    /// Whether the record exists in a schema version that this program does not support.
    bool hasUnknownSchema(std::string_view kind, std::string_view name) const;

    /// The routes sorted by descending length of their path prefix, so that the first match is the most specific.
    const std::vector<Route>& routes() const { return routes_; }

    /// The backend servers that serve `route`.
    const std::vector<BackendServerId>& backendServersOf(const RouteId& route) const;

    /// The regions of the workspace's residency rule; null if the rule is missing or of an unknown schema.
    const std::vector<RegionId>* permittedRegions(const WorkspaceId& workspace) const;

    /// The number of records, for status reports and capacity planning.
    std::size_t recordCount() const { return recordCount_; }

private:
    void add(const Workspace& workspace);
    void add(const Key& key);
    void add(const ResidencyRule& rule);
    void add(const Route& route);
    void add(const BackendServer& server);
    void add(const Service& service);
    void addUnknown(const Record& record, const UnknownRecord& body);

    Revision revision_;
    Revision lastChange_;
    std::size_t recordCount_;
    std::unordered_map<WorkspaceId, Workspace> workspaces_;
    std::unordered_map<KeyDigest, Key> keys_;
    std::unordered_map<ResidencyRuleId, ResidencyRule> residencyRules_;
    std::vector<Route> routes_;
    /// Indexes into routes_.
    std::unordered_map<RouteId, std::size_t> routesById_;
    /// Indexes into routes_ by host and prefix.
    std::unordered_map<std::string, std::size_t> routesByHostAndPrefix_;
    std::unordered_map<ServiceId, Service> services_;
    std::unordered_map<BackendServerId, BackendServer> backendServers_;
    std::unordered_map<RouteId, std::vector<BackendServerId>> backendServersByRoute_;
    std::set<std::string> unknownSchemaLabels_;
};

using SnapshotPointer = std::shared_ptr<const Snapshot>;

} // namespace Ibisturn
