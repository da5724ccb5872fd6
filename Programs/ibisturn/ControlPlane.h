#pragma once

#include <LibHTTP/Requests/InstanceTables.h>
#include <LibPeer/ControlLinks.h>
#include <LibPlatform/ConfigurationFeed.h>

namespace Ibisturn {

/// Connects the configuration feed and the membership tracker to the store, to the peers and to the tables that workers read.
/// Thread safety: the worker of `context`, except where a method says otherwise.
class ControlPlane final : public ControlReceiver {
public:
    /// Precondition: `context`, `tables` and `store` outlive the control plane.
    ControlPlane(Asio::io_context& context, InstanceTables& tables, StoreClient& store);

    /// Starts following the configuration. Must be called once.
    void start();

    /// Updates the membership from the live list.
    void setLiveList(MembershipView list);

    /// Publishes the current membership to the workers. Must be called after each poll of the live list, also if the poll failed.
    void refreshMembership();

    /// Notifies all instances that this one is leaving.
    void leave();

    /// The feed that follows the configuration.
    ConfigurationFeed& feed() { return feed_; }

    /// Thread safety: any worker.
    Task<std::vector<PeerAction>> receive(InstanceId from, ControlEvent event) override;

private:
    Task<std::vector<PeerAction>> receiveOnWorker(InstanceId from, ControlEvent event);
    std::vector<PeerAction> onHeartbeat(const InstanceId& from, const ControlHeartbeat& heartbeat);
    void send(const PeerAction& action);

    Asio::io_context& context_;
    InstanceTables& tables_;
    ConfigurationFeed feed_;
    MembershipTracker tracker_;
    ControlLinks links_;
};

} // namespace Ibisturn
