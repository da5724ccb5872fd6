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

/// Parses `address:port` with a literal IP address; returns nullopt if it is malformed. Thread safety: any thread.
std::optional<Endpoint> parseEndpoint(const std::string& text);

/// Paths of the PEM files of a TLS certificate and its private key.
struct TlsSettings {
    std::string certificate;
    std::string privateKey;
};

/// Name and location of this process.
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

/// Settings of a fleet of instances on a platform with its own store layout and HTTP headers.
struct FleetSettings {
    /// The name of the plug-ins for the platform's documents, callers and backend servers.
    std::string dialect;
    Endpoint readinessListen;
    Endpoint directoryListen;
    std::optional<Endpoint> metricsListen;
    /// How long callers may cache an answer of the directory.
    Duration directoryLifetime { std::chrono::seconds(2) };
    /// The region of each data centre.
    std::map<DataCentreId, RegionId> dataCentres;
    /// The retry budget of all instances per window: retries per request, and a number that is always permitted.
    double retryRatio { 0.1 };
    std::uint32_t retryReserve { 10 };
    Duration retryWindow { std::chrono::seconds(10) };
    /// The window in which a workspace's allowance is enforced across all instances.
    Duration allowanceWindow { std::chrono::seconds(10) };
    /// How far all instances together may exceed the allowance in a window: as a share of it, and in tokens.
    double allowanceTolerance { 0 };
    std::uint32_t allowanceSlack { 0 };
    /// Cores that the instance may use, which may be a fraction.
    double processorShare { 1 };
    /// Memory and file descriptors that the platform gives the process; empty if it does not say.
    std::optional<ByteCount> processMemory;
    std::optional<std::uint32_t> processDescriptors;
    /// How long a backend server continues to serve after it has reported that it is shutting down.
    Duration backendDrainPeriod { std::chrono::seconds(3) };
    /// Time between SIGTERM and the kill of the process.
    Duration shutdownGracePeriod { std::chrono::seconds(8) };
};

/// The contents of the settings file of a process.
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
    /// Where spans are sent: `none`, `stderr`, or the endpoint of an OTLP/JSON collector.
    std::string traceCollector { "none" };
    /// Values that a platform supplied and that could not be used as they are, with file, line, key and the value used.
    std::vector<std::string> adjustments;
};

/// Reads and validates the settings file at `path`; opens no other file.
/// Throws SettingsError with file, line and key. Thread safety: any thread.
Settings loadSettings(const std::string& path);

/// Like loadSettings(), for text that was read from `fileName`. Thread safety: any thread.
Settings parseSettings(const std::string& text, const std::string& fileName);

} // namespace Ibisturn
