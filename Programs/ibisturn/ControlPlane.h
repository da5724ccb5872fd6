#pragma once

#include <LibHTTP/Requests/InstanceTables.h>
#include <LibPeer/ControlLinks.h>
#include <LibPlatform/ConfigurationFeed.h>

namespace Ibisturn {

/// Ties the decisions on configuration to the store, to the peers and to the tables that workers read.
/// Thread safety: the worker of `context`, but for what a method says.
class ControlPlane final : public ControlReceiver {
public:
    /// Precondition: `context`, `tables` and `store` outlive the control plane.
    ControlPlane(Asio::io_context& context, InstanceTables& tables, StoreClient& store);

    /// Starts to follow the configuration. Call it once.
    void start();

    /// Takes in the live list.
    void setLiveList(MembershipView list);

    /// Shows workers which instances are to be used. Call it each second, whether or not the live list could be read.
    void refreshMembership();

    /// Tells every instance that this one leaves.
    void leave();

    /// What follows the configuration.
    ConfigurationFeed& feed() { return feed_; }

    /// Thread safety: any worker.
    Task<std::vector<PeerAction>> receive(InstanceId from, ControlEvent event) override;

private:
    Task<std::vector<PeerAction>> receiveHere(InstanceId from, ControlEvent event);
    std::vector<PeerAction> onHeartbeat(const InstanceId& from, const ControlHeartbeat& heartbeat);
    void send(const PeerAction& action);

    Asio::io_context& context_;
    InstanceTables& tables_;
    ConfigurationFeed feed_;
    MembershipTracker membership_;
    ControlLinks links_;
};

} // namespace Ibisturn
