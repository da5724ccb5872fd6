#pragma once

#include "ChildProcess.h"
#include "HttpCaller.h"
#include "LinkRelay.h"
#include "Scenario.h"

#include <map>
#include <memory>

namespace Ibisturn::Scenarios {

/// The names of one user's deployment. Its first region is the home of the store and of the workspaces.
struct DeploymentNames {
    std::vector<std::string> regions;
    /// Permits the first two regions, and only the first one.
    std::string largeWorkspace;
    std::string smallWorkspace;
    /// Runs in the second region only, and in the first only.
    std::string remoteModel;
    std::string homeModel;
    /// Path of the service whose calls may not be repeated.
    std::string servicePath;
};

/// The names that scenarios of this kind use.
const DeploymentNames& namesOf(DeploymentKind kind);

/// The stand-ins and instances of a deployment as processes on loopback, with links that can be cut.
/// Thread safety: one thread.
class Deployment {
public:
    /// Starts everything and waits until each instance has the records and sees the others.
    explicit Deployment(DeploymentKind kind);
    ~Deployment();
    Deployment(const Deployment&) = delete;
    Deployment& operator=(const Deployment&) = delete;

    /// The key that a workspace's callers send.
    static std::string keyOf(const std::string& workspace) { return "key-of-" + workspace; }

    /// Where an instance's callers and operators connect. Throws std::out_of_range for an unknown name.
    Endpoint callersOf(const std::string& instance) const { return instances_.at(instance).callers; }
    Endpoint operatorsOf(const std::string& instance) const { return instances_.at(instance).operators; }

    /// The stand-ins, by what they stand for.
    Endpoint store() const { return standIns_.at("store").endpoint; }
    Endpoint service() const { return standIns_.at("service").endpoint; }
    std::vector<Endpoint> engines() const;

    /// Changes an instance's or a stand-in's process.
    void change(const ChangeProcess& change);

    /// Cuts or heals a link.
    void change(const ChangeLink& change);

    /// Reads, writes and withdraws a record; a write finds the present revision first.
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
