#pragma once

#include <LibCore/Clock.h>
#include <LibCore/Identifier.h>
#include <LibCore/Log.h>
#include <LibCore/Quantity.h>

#include <cstdint>
#include <map>
#include <optional>
#include <string>
#include <vector>

namespace Ibisturn {

/// An IP address and a port.
struct Endpoint {
    std::string address;
    std::uint16_t port { 0 };

    auto operator<=>(const Endpoint&) const = default;

    /// `address:port`, with brackets around an IPv6 address.
    std::string toString() const;
};

/// Reads `address:port` with a literal IP address; nothing if it is malformed. Thread safety: any thread.
std::optional<Endpoint> parseEndpoint(const std::string& text);

/// PEM files of one TLS identity.
struct TlsSettings {
    std::string certificate;
    std::string privateKey;
};

/// Who and where this process is.
struct InstanceIdentity {
    InstanceId instance;
    RegionId region;
    DataCentreId dataCentre;
};

/// An operator who may read and write records through this instance.
struct OperatorCredential {
    std::string name;
    KeyDigest digest;
};

/// How a fleet of instances on a platform with its own store layout and HTTP headers is run.
struct FleetSettings {
    /// The plug-ins that know the platform's documents, callers and backend servers.
    std::string dialect;
    Endpoint readinessListen;
    Endpoint directoryListen;
    std::optional<Endpoint> metricsListen;
    /// How long callers may keep an answer of the directory.
    Duration directoryLifetime { std::chrono::seconds(2) };
    /// The region of each data centre.
    std::map<DataCentreId, RegionId> dataCentres;
    /// Retries for each request, and those that are permitted in any case, of all instances in a window.
    double retryRatio { 0.1 };
    std::uint32_t retryReserve { 10 };
    Duration retryWindow { std::chrono::seconds(10) };
    /// The window in which a workspace's allowance must hold over all instances.
    Duration allowanceWindow { std::chrono::seconds(10) };
    /// What all instances together may exceed it by in a window: a share of it, and tokens.
    double allowanceTolerance { 0 };
    std::uint32_t allowanceSlack { 0 };
    /// How long a backend server serves on after it said that it leaves.
    Duration backendDrain { std::chrono::seconds(3) };
    /// When the process is killed after SIGTERM.
    Duration shutdownGrace { std::chrono::seconds(8) };
};

/// Everything a process learns from its settings file.
struct Settings {
    InstanceIdentity identity;
    Endpoint callersListen;
    std::optional<TlsSettings> callersTls;
    Endpoint operatorsListen;
    std::vector<OperatorCredential> operatorCredentials;
    Endpoint peersListen;
    std::string storeKind { "etcd" };
    std::vector<Endpoint> storeEndpoints;
    std::string storePrefix { "/ibisturn/" };
    std::optional<FleetSettings> fleet;
    Endpoint liveListEndpoint;
    Duration liveListPoll { std::chrono::seconds(1) };
    std::string routingStrategy { "least-outstanding" };
    ByteCount headLimit { 16 * 1024 };
    ByteCount bodyLimit { 4 * 1024 * 1024 };
    std::uint32_t workers { 1 };
    Duration requestTimeout { std::chrono::seconds(120) };
    Duration idleTimeout { std::chrono::seconds(60) };
    Duration connectTimeout { std::chrono::milliseconds(500) };
    Duration drainTimeout { std::chrono::minutes(10) };
    LogLevel logLevel { LogLevel::Info };
    /// Where spans go: `none`, `stderr`, or the endpoint of an OTLP/JSON collector.
    std::string traceCollector { "none" };
};

/// Reads and checks the settings file at `path`; opens nothing else.
/// Throws SettingsError, which names file, line and key. Thread safety: any thread.
Settings loadSettings(const std::string& path);

/// As loadSettings(), for text that came from `fileName`. Thread safety: any thread.
Settings parseSettings(const std::string& text, const std::string& fileName);

} // namespace Ibisturn
