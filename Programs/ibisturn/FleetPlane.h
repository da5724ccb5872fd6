#pragma once

#include <LibDecision/Membership/EntryDirectory.h>
#include <LibDecision/Membership/MembershipTracker.h>
#include <LibHTTP/Requests/InstanceTables.h>
#include <LibPeer/ControlLinks.h>
#include <LibPlatform/FleetState.h>
#include <LibPlatform/InstanceLease.h>
#include <LibPlatform/PeerUpdateRequests.h>
#include <LibPlatform/StatusIntervalLimits.h>

#include <memory>
#include <vector>

namespace Ibisturn {

/// Carries out what an instance of a fleet must know and tell: it follows the store, keeps its entry there, and trades
/// news with the other instances.
/// Thread safety: the first worker.
class FleetPlane final : public ControlReceiver {
public:
    /// Precondition: everything outlives the plane.
    FleetPlane(Asio::io_context& context, InstanceTables& tables, StoreClient& store, const DocumentReader& reader);

    /// Begins to follow the store.
    void start();

    /// Lets time pass: takes what is known into force and tells the others. To be called every 50 ms.
    void tick(TimePoint now);

    /// Takes changed settings into force.
    void reload(const FleetSettings& fleet);

    /// Tells the others and the store that this instance takes no more requests.
    Task<void> leave();

    /// Whether callers may be sent here.
    bool isReady() const;

    /// The instances that callers at `caller` should use for requests to `host`.
    std::vector<Member> entries(std::string_view host, const CallerLocation& caller) const;

    Task<std::vector<PeerAction>> receive(InstanceId from, ControlEvent event) override;

private:
    std::vector<PeerAction> onNews(TimePoint now, const InstanceId& from, const PeerStatus& news);
    void applyConfiguration();
    void applyServers();
    void applyMembership(TimePoint now);
    void setGauges(TimePoint now, const MembershipView& view);
    void tellPeers(TimePoint now);
    Task<void> noteFleetSize(std::size_t size);
    /// What is told the instances of this region, or those of others.
    enum class Audience : std::uint8_t {
        OwnRegion,
        OtherRegions,
    };

    Audience audienceOf(const RegionId& region) const;
    PeerStatus newsFor(TimePoint now, Audience audience) const;
    Member self() const;

    Asio::io_context& context_;
    InstanceTables& tables_;
    StoreClient& store_;
    FleetState knowledge_;
    InstanceLease lease_;
    ControlLinks links_;
    std::vector<std::unique_ptr<EntryFollower>> followers_;
    MembershipTracker tracker_;
    Incarnation incarnation_;
    SnapshotPointer applied_;
    std::uint64_t appliedRegistry_ { 0 };
    TimePoint nextMembership_ {};
    TimePoint nextNearNews_ {};
    TimePoint nextFarNews_ {};
    TimePoint nextSizeNote_ {};
    PeerUpdateRequests wishes_;
};

} // namespace Ibisturn
