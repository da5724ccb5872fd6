#pragma once

#include <LibConfiguration/Settings.h>
#include <LibCore/Identifier.h>
#include <LibCore/Quantity.h>

#include <cstdint>
#include <optional>
#include <string>
#include <string_view>
#include <variant>
#include <vector>

namespace Ibisturn {

/// The newest schema version of records that this program understands.
constexpr std::uint32_t newestRecordSchema = 1;

enum class ResidencyScope : std::uint8_t {
    /// The regions of the workspace's rule; none if the rule is missing.
    ByRule,
    /// The workspace has no rule.
    Everywhere,
};

/// A customer whose requests are kept apart from those of the others.
struct Workspace {
    WorkspaceId id;
    ResidencyRuleId residency;
    TokensPerSecond rate;
    TokenCount burst;
    ResidencyScope scope { ResidencyScope::ByRule };
    /// Goes before the priority of the route; 0 is first.
    std::optional<std::uint32_t> priority;
    /// What a request that does not tell its tokens counts.
    TokenCount plainRequest;
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

enum class ResumeSupport : std::uint8_t {
    Unsupported,
    /// The events of its streams carry an `id:` that grows, and a request with `Last-Event-ID: N` is answered
    /// from the event after N on.
    Supported,
};

/// A part of a route's requests.
struct ServiceShare {
    ServiceId service;
    /// Against the weights of the route's other shares.
    std::uint32_t weight { 1 };
};

enum class AnswerForm : std::uint8_t {
    Whole,
    EventStream,
};

/// What a route to services promises its callers; a route to named backend servers has none.
struct RouteTerms {
    /// Requests with this host.
    std::string host;
    std::vector<ServiceShare> services;
    AnswerForm form { AnswerForm::Whole };
    /// Whether a cut stream may go on at another backend server.
    ResumeSupport resume { ResumeSupport::Unsupported };
    /// 0 is first.
    std::uint32_t priority { 0 };
    /// The longest that a caller is kept waiting for a whole answer.
    Duration timeout {};
    /// The answer, or the first event of a stream, should come within this.
    Duration targetLatency {};
    /// Backend servers that one request may be sent to.
    std::uint32_t mostAttempts { 1 };
    /// The regions that may serve it; empty for all that its workspace permits.
    std::vector<RegionId> homes;
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
    std::optional<RouteTerms> terms;
};

/// What all engines of a service have in common.
struct EngineTraits {
    /// Requests that run at once.
    std::uint32_t slots { 0 };
    /// Memory for running requests and cached prompts.
    TokenCount memory;
    /// Tokens in one event of a stream.
    std::uint32_t tokensPerEvent { 1 };
};

/// Backend servers that are alike.
struct Service {
    ServiceId id;
    std::string healthPath;
    /// Connections that one of its backend servers accepts from all instances together.
    std::uint32_t mostConnections { 0 };
    /// How long one of its backend servers is slow after its start.
    Duration coldPeriod {};
    /// Requests per second that a cold backend server bears.
    double coldRate { 0 };
    std::optional<EngineTraits> engine;
};

enum class FencingSupport : std::uint8_t {
    Ignored,
    Checked,
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

/// What a caller may send and how long it may take, where operators set it.
struct CallerLimits {
    ByteCount head { 16 * 1024 };
    ByteCount body { 4 * 1024 * 1024 };
    /// The longest that a head may take to arrive.
    Duration headTime { std::chrono::seconds(10) };
    /// The longest that a connection may be idle.
    Duration idle { std::chrono::seconds(60) };
};

using RecordBody = std::variant<Workspace, Key, ResidencyRule, Route, BackendServer, Service, UnknownRecord>;

/// A record as the store holds it.
struct Record {
    /// `workspaces`, `keys`, `residency`, `routes`, `backend_servers` or `services`.
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
