#pragma once

#include <LibConfiguration/Records.h>

#include <memory>
#include <set>
#include <unordered_map>
#include <vector>

namespace Ibisturn {

/// The whole configuration at one revision of the store, compiled for look-ups. It never changes.
/// Thread safety: all methods from any thread.
class Snapshot {
public:
    /// Compiles `records`, which is every record at `revision`. Unknown schema versions are kept as such.
    /// `lastChange` is the latest change that is known; a record's own revision counts in any case.
    /// Precondition: the records' kinds and names are distinct.
    Snapshot(Revision revision, const std::vector<Record>& records, Revision lastChange = Revision(0));

    /// The revision of the store that this is.
    Revision revision() const { return revision_; }

    /// The latest revision at which a record changed, as far as is known. Other writes to the store move
    /// revision() alone, so this is what another instance has to have reached.
    Revision lastChange() const { return lastChange_; }

    /// Look-ups by id; null if there is no such record that this program understands.
    const Workspace* findWorkspace(const WorkspaceId& id) const;
    const Key* findKey(const KeyDigest& digest) const;
    const ResidencyRule* findResidencyRule(const ResidencyRuleId& id) const;
    const Route* findRoute(const RouteId& id) const;
    const BackendServer* findBackendServer(const BackendServerId& id) const;
    const Service* findService(const ServiceId& id) const;

    /// The route with terms that has this host and the longest prefix of `path`; null if there is none.
    const Route* findRouteAt(std::string_view host, std::string_view path) const;

    /// Whether the named record is there in a schema version that this program does not understand.
    bool isUnknown(std::string_view kind, std::string_view name) const;

    /// The routes in descending length of their path, so that the first that matches is the closest.
    const std::vector<Route>& routes() const { return routes_; }

    /// The backend servers that serve `route`.
    const std::vector<BackendServerId>& backendServersOf(const RouteId& route) const;

    /// The regions of the workspace's rule; null if the rule is missing or not understood.
    const std::vector<RegionId>* permittedRegions(const WorkspaceId& workspace) const;

    /// The number of records, for status and capacity.
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
    std::unordered_map<std::string, std::size_t> routesAt_;
    std::unordered_map<ServiceId, Service> services_;
    std::unordered_map<BackendServerId, BackendServer> backendServers_;
    std::unordered_map<RouteId, std::vector<BackendServerId>> backendServersByRoute_;
    std::set<std::string> unknown_;
};

using SnapshotPointer = std::shared_ptr<const Snapshot>;

} // namespace Ibisturn
