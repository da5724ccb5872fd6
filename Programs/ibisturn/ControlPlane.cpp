#include "ControlPlane.h"

#include <LibCore/SteadyClock.h>
#include <LibKernel/SpawnDetached.h>
#include <LibPeer/Hello.h>

#include <utility>

namespace Ibisturn {

ControlPlane::ControlPlane(Asio::io_context& context, InstanceTables& tables, StoreClient& store)
    : context_(context)
    , tables_(tables)
    , feed_(
          store, tables.settings.identity, tables.settings.storePrefix,
          [this](SnapshotPointer snapshot) { tables_.configuration.set(std::move(snapshot)); },
          [this](const PeerAction& action) { send(action); })
    , links_(context, makeHelloMessage(tables.settings.identity), { tables.settings.connectTimeout, controlWriteTimeout, tables.settings.idleTimeout }, *this)
{
}

void ControlPlane::start()
{
    spawnDetached(context_, feed_.run(), "configuration feed");
}

void ControlPlane::setLiveList(MembershipView list)
{
    tracker_.onLiveList(std::move(list));
    refreshMembership();
}

void ControlPlane::refreshMembership()
{
    const auto now = SteadyClock().now();
    // Before tick(), which discards these observations if this process was suspended.
    for (const auto& observation : tables_.peerReachability.take())
        tracker_.onReachability(now, observation.instance, observation.reach);
    tracker_.tick(now);
    auto view = tracker_.view(now);
    for (const auto& member : view.instances) {
        if (const auto reachability = feed_.reachability(member.id))
            tracker_.onReachability(now, member.id, *reachability);
    }
    view = tracker_.view(now);
    feed_.setInstances(view.instances);
    tables_.membership.set(std::make_shared<const MembershipView>(std::move(view)));
}

void ControlPlane::leave()
{
    feed_.leave();
}

Task<std::vector<PeerAction>> ControlPlane::receive(InstanceId from, ControlEvent event)
{
    auto task = receiveOnWorker(std::move(from), std::move(event));
    co_return co_await Asio::co_spawn(context_, std::move(task), Asio::use_awaitable);
}

Task<std::vector<PeerAction>> ControlPlane::receiveOnWorker(InstanceId from, ControlEvent event)
{
    if (const auto* heartbeat = std::get_if<ControlHeartbeat>(&event))
        co_return onHeartbeat(from, *heartbeat);
    if (const auto* update = std::get_if<ConfigurationUpdate>(&event))
        co_return feed_.onUpdate(from, *update);
    // The other messages are exchanged only by instances that use a store with an external layout.
    co_return std::vector<PeerAction>();
}

std::vector<PeerAction> ControlPlane::onHeartbeat(const InstanceId& from, const ControlHeartbeat& heartbeat)
{
    tracker_.onAnnouncement(from, heartbeat.incarnation, heartbeat.state);
    const auto membership = tables_.membership.get();
    const auto* member = membership ? membership->find(from) : nullptr;
    // An instance that starts to leave is applied immediately; other changes wait for the next refresh.
    if (member && heartbeat.state == MemberState::Leaving && member->state != MemberState::Leaving)
        refreshMembership();
    return feed_.onHeartbeat(from, heartbeat);
}

void ControlPlane::send(const PeerAction& action)
{
    const auto& peer = std::visit([](const auto& message) -> const InstanceId& { return message.peer; }, action);
    const auto membership = tables_.membership.get();
    const auto* member = membership ? membership->find(peer) : nullptr;
    if (member)
        links_.send(*member, toPeerMessage(action));
}

} // namespace Ibisturn
