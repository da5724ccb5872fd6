#pragma once

#include <LibConfiguration/Settings.h>
#include <LibCore/Identifier.h>
#include <LibCore/Quantity.h>

#include <cstdint>
#include <string>
#include <string_view>
#include <variant>
#include <vector>

namespace Ibisturn {

/// The newest schema version of records that this program understands.
constexpr std::uint32_t newestRecordSchema = 1;

/// A customer whose requests are kept apart from those of the others.
struct Workspace {
    WorkspaceId id;
    ResidencyRuleId residency;
    TokensPerSecond rate;
    TokenCount burst;
};

/// A caller's key; the store holds its digest only.
struct Key {
    KeyDigest digest;
    WorkspaceId workspace;
};

/// The regions in which a workspace's requests and their data may be.
struct ResidencyRule {
    ResidencyRuleId id;
    std::vector<RegionId> regions;
};

enum class BackendKind : std::uint8_t {
    Engine,
    Service,
};

enum class RouteAccess : std::uint8_t {
    /// Only for the workspaces that the route names, by their keys.
    Workspaces,
    /// For every caller, without a key.
    OpenToAll,
    /// For nobody: the record's schema version is not understood.
    Closed,
};

enum class Repeatability : std::uint8_t {
    Idempotent,
    NonIdempotent,
};

/// Which requests go to which backend servers.
struct Route {
    RouteId id;
    /// Requests whose path begins with this.
    std::string pathPrefix;
    /// Requests for this model; empty for every model and for plain services.
    ModelName model;
    BackendKind kind { BackendKind::Engine };
    RouteAccess access { RouteAccess::Workspaces };
    Repeatability repeatability { Repeatability::Idempotent };
    /// Workspaces that may use it; empty for all of them.
    std::vector<WorkspaceId> workspaces;
};

enum class FencingSupport : std::uint8_t {
    Ignored,
    Checked,
};

enum class ResumeSupport : std::uint8_t {
    Unsupported,
    /// The events of its streams carry an `id:` that counts from 0, and a request with `Last-Event-ID: N` is
    /// answered from event N + 1 on.
    Supported,
};

/// A model engine or a plain service that runs requests.
struct BackendServer {
    BackendServerId id;
    BackendKind kind { BackendKind::Engine };
    Endpoint endpoint;
    RegionId region;
    DataCentreId dataCentre;
    /// Routes that it serves.
    std::vector<RouteId> routes;
    FencingSupport fencing { FencingSupport::Ignored };
    ResumeSupport resume { ResumeSupport::Unsupported };
};

/// A record of a schema version that this program does not understand. What it touches fails closed.
/// Routes of every version keep `path` and `model`, so that a closed route stands where the unknown one does.
struct UnknownRecord {
    std::uint64_t schema { 0 };
    /// Of a route alone; every path if it can't be read.
    std::string pathPrefix { "/" };
    ModelName model;
};

using RecordBody = std::variant<Workspace, Key, ResidencyRule, Route, BackendServer, UnknownRecord>;

/// A record as the store holds it.
struct Record {
    /// `workspaces`, `keys`, `residency`, `routes` or `backend_servers`.
    std::string kind;
    std::string name;
    Revision revision;
    RecordBody body;
};

/// Reads the JSON text of a record. Throws Error with RecordInvalid, which names record and field.
/// Thread safety: any thread.
Record parseRecord(std::string_view kind, std::string_view name, std::string_view json, Revision revision);

/// What is known of a record that parseRecord() can't read. Thread safety: any thread.
UnknownRecord parseUnknownRecord(std::uint32_t schema, std::string_view json);

/// Whether `kind` names a kind of record. Thread safety: any thread.
bool isRecordKind(std::string_view kind);

} // namespace Ibisturn
