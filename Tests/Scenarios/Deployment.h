#pragma once

#include "ChildProcess.h"
#include "HttpCaller.h"
#include "LinkRelay.h"
#include "Scenario.h"

#include <map>
#include <memory>

namespace Ibisturn::Scenarios {

/// The names used in one organization's deployment. Its first region holds the store and is the home of the workspaces.
struct DeploymentNames {
    std::vector<std::string> regions;
    /// Workspaces that permit the first two regions, and only the first one.
    std::string largeWorkspace;
    std::string smallWorkspace;
    /// Models that run in the second region only, and in the first only.
    std::string remoteModel;
    std::string homeModel;
    /// Path of the service with non-idempotent requests.
    std::string servicePath;
};

/// The names that scenarios in this deployment use.
const DeploymentNames& namesOf(DeploymentKind kind);

/// The stand-ins and instances of a deployment as processes on loopback, connected by links that can be cut.
/// Thread safety: one thread.
class Deployment {
public:
    /// Starts all processes and waits until each instance has all records and knows all other instances.
    explicit Deployment(DeploymentKind kind);
    ~Deployment();
    Deployment(const Deployment&) = delete;
    Deployment& operator=(const Deployment&) = delete;

    /// The key that callers of a workspace send.
    static std::string keyOf(const std::string& workspace) { return "key-of-" + workspace; }

    /// Addresses of an instance's listeners for callers and operators. Throws std::out_of_range for an unknown name.
    Endpoint callersOf(const std::string& instance) const { return instances_.at(instance).callers; }
    Endpoint operatorsOf(const std::string& instance) const { return instances_.at(instance).operators; }

    /// Addresses of the stand-ins.
    Endpoint store() const { return standIns_.at("store").endpoint; }
    Endpoint service() const { return standIns_.at("service").endpoint; }
    std::vector<Endpoint> engines() const;

    /// Kills, freezes, thaws, drains or starts the process of an instance or a stand-in.
    void change(const ChangeProcess& change);

    /// Cuts or restores a link.
    void change(const ChangeLink& change);

    /// Writes and withdraws a record, on condition of its current revision, which is read first.
    CallerAnswer writeRecord(const std::string& instance, const std::string& kind, const std::string& name, const std::string& json);
    CallerAnswer withdrawRecord(const std::string& instance, const std::string& kind, const std::string& name);

private:
    struct StandIn {
        std::unique_ptr<ChildProcess> process;
        Endpoint endpoint;
    };
    struct InstanceProcess {
        std::string region;
        std::unique_ptr<LinkRelay> storeLink;
        std::unique_ptr<LinkRelay> peersLink;
        std::unique_ptr<ChildProcess> process;
        Endpoint callers;
        Endpoint operators;
    };

    void startStandIn(const std::string& name, std::vector<std::string> arguments);
    void addInstance(const std::string& name, const std::string& region);
    void startInstance(const std::string& name);
    void writeSettings(const std::string& name, const InstanceProcess& instance) const;
    void publishLiveList() const;
    void writeRecords();
    void putOrFail(const std::string& kind, const std::string& name, const std::string& json);
    void awaitReady() const;
    CallerAnswer changeRecord(const std::string& instance, const std::string& method, const std::string& target, const std::string& json);

    const DeploymentNames& names_;
    std::string folder_;
    std::map<std::string, StandIn> standIns_;
    std::map<std::string, InstanceProcess> instances_;
};

} // namespace Ibisturn::Scenarios
