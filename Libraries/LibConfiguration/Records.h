#pragma once

#include <LibConfiguration/Settings.h>
#include <LibCore/Identifier.h>
#include <LibCore/Quantity.h>
#include <LibCore/Revision.h>

#include <cstdint>
#include <optional>
#include <string>
#include <string_view>
#include <variant>
#include <vector>

namespace Ibisturn {

/// The newest schema version of records that this program supports.
constexpr std::uint32_t newestRecordSchema = 1;

enum class ResidencyScope : std::uint8_t {
    /// The regions of the workspace's rule; none if the rule is missing.
    ByRule,
    /// The workspace has no rule.
    Everywhere,
};

/// A tenant whose requests are isolated from those of other tenants.
struct Workspace {
    WorkspaceId id;
    ResidencyRuleId residency;
    TokensPerSecond rate;
    TokenCount burst;
    ResidencyScope scope { ResidencyScope::ByRule };
    /// Overrides the priority of the route; 0 is the highest.
    std::optional<std::uint32_t> priority;
    /// Tokens charged for a request that does not state its token count.
    TokenCount defaultRequestTokens;
};

/// A caller's key; only its digest is stored.
struct Key {
    KeyDigest digest;
    WorkspaceId workspace;
};

/// The regions in which a workspace's requests may be processed and their data kept.
struct ResidencyRule {
    ResidencyRuleId id;
    std::vector<RegionId> regions;
};

enum class BackendKind : std::uint8_t {
    Engine,
    Service,
};

enum class RouteAccess : std::uint8_t {
    /// Only callers with a key of a permitted workspace.
    Workspaces,
    /// Every caller, without a key.
    OpenToAll,
    /// No caller: the record's schema version is not supported.
    Closed,
};

enum class Repeatability : std::uint8_t {
    Idempotent,
    NonIdempotent,
};

enum class ResumeSupport : std::uint8_t {
    Unsupported,
    /// The events of its streams carry an increasing `id:`, and a request with `Last-Event-ID: N` is answered
    /// starting with the event after N.
    Supported,
};

/// The weighted share of a route's requests that a service receives.
struct ServiceShare {
    ServiceId service;
    /// Relative to the weights of the route's other shares.
    std::uint32_t weight { 1 };
};

enum class AnswerForm : std::uint8_t {
    Whole,
    EventStream,
};

/// How requests on a route to services are matched by host, distributed and limited. Routes to individual backend servers
/// have no policy.
struct RoutePolicy {
    /// Host of the requests that the route matches.
    std::string host;
    std::vector<ServiceShare> services;
    AnswerForm form { AnswerForm::Whole };
    /// Whether a truncated stream may be resumed on another backend server.
    ResumeSupport resume { ResumeSupport::Unsupported };
    /// 0 is the highest.
    std::uint32_t priority { 0 };
    /// The maximum time until the caller has the complete answer.
    Duration timeout {};
    /// Target latency of the answer, or of the first event of a stream.
    Duration targetLatency {};
    /// The maximum number of backend servers that one request may be sent to.
    std::uint32_t maxAttempts { 1 };
    /// The regions that may serve the route; if empty, all that the workspace permits.
    std::vector<RegionId> homeRegions;
};

/// Which requests go to which backend servers.
struct Route {
    RouteId id;
    /// Path prefix of the requests that the route matches.
    std::string pathPrefix;
    /// Model of the requests that the route matches; empty for any model and for plain services.
    ModelName model;
    BackendKind kind { BackendKind::Engine };
    RouteAccess access { RouteAccess::Workspaces };
    Repeatability repeatability { Repeatability::Idempotent };
    /// Workspaces that may use the route; empty for all.
    std::vector<WorkspaceId> workspaces;
    std::optional<RoutePolicy> policy;
};

/// Properties that all engines of a service share.
struct EngineTraits {
    /// Maximum number of concurrent requests.
    std::uint32_t slots { 0 };
    /// Memory for running requests and cached prompts.
    TokenCount memory;
    /// Tokens per event of a stream.
    std::uint32_t tokensPerEvent { 1 };
};

/// A group of equivalent backend servers.
struct Service {
    ServiceId id;
    std::string healthPath;
    /// Connections that each backend server accepts from all instances together.
    std::uint32_t maxConnections { 0 };
    /// How long a backend server is slow after it has started.
    Duration coldPeriod {};
    /// Requests per second that a cold backend server can sustain.
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
    /// Routes that the backend server serves.
    std::vector<RouteId> routes;
    FencingSupport fencing { FencingSupport::Ignored };
    ResumeSupport resume { ResumeSupport::Unsupported };
};

/// A record of a schema version that this program does not support. Requests that depend on it fail closed.
/// Routes of every schema version have `path` and `model`, so that a closed route can replace the unknown one.
struct UnknownRecord {
    std::uint64_t schema { 0 };
    /// Only for routes; matches every path if it can't be read.
    std::string pathPrefix { "/" };
    ModelName model;
};

/// Limits of the size and duration of callers' requests, if operators set them.
struct CallerLimits {
    ByteCount head { 16 * 1024 };
    ByteCount body { 4 * 1024 * 1024 };
    /// The maximum time to receive a request's head.
    Duration headTimeout { std::chrono::seconds(10) };
    /// The maximum time that a connection may be idle.
    Duration idleTimeout { std::chrono::seconds(60) };
};

using RecordBody = std::variant<Workspace, Key, ResidencyRule, Route, BackendServer, Service, UnknownRecord>;

/// A parsed record of the store.
struct Record {
    /// `workspaces`, `keys`, `residency`, `routes`, `backend_servers` or `services`.
    std::string kind;
    std::string name;
    Revision revision;
    RecordBody body;
};

/// Parses the JSON text of a record. Throws Error with RecordInvalid; the message contains record and field.
/// Thread safety: any thread.
Record parseRecord(std::string_view kind, std::string_view name, std::string_view json, Revision revision);

/// Extracts path and model, if present, from a record that parseRecord() can't read. Thread safety: any thread.
UnknownRecord parseUnknownRecord(std::uint64_t schema, std::string_view json);

/// Whether `kind` is a kind of record. Thread safety: any thread.
bool isRecordKind(std::string_view kind);

} // namespace Ibisturn
