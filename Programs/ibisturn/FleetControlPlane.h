#pragma once

#include <LibDecision/Dissemination/LargeAnswers.h>
#include <LibDecision/Dissemination/StatusExchange.h>
#include <LibDecision/Dissemination/StoreFeed.h>
#include <LibDecision/Membership/EntryDirectory.h>
#include <LibDecision/Membership/MembershipTracker.h>
#include <LibHTTP/Operators/EntryLog.h>
#include <LibHTTP/Requests/InstanceTables.h>
#include <LibPeer/ControlLinks.h>
#include <LibPlatform/FleetState.h>
#include <LibPlatform/InstanceLease.h>
#include <LibPlatform/PeerUpdateRequests.h>

#include <map>
#include <memory>
#include <set>
#include <vector>

namespace Ibisturn {

/// The control plane of an instance of a fleet: follows the store or an instance that does, maintains the instance's entry
/// there, and exchanges status with the other instances.
/// Thread safety: the first worker.
class FleetControlPlane final : public ControlReceiver {
public:
    /// Precondition: all arguments outlive the control plane.
    FleetControlPlane(Asio::io_context& context, InstanceTables& tables, StoreClient& store, const DocumentReader& reader);

    /// Starts following the store.
    void start();

    /// Applies the current fleet state to the tables and sends status to the peers. Must be called every 50 ms.
    void tick(TimePoint now);

    /// Applies changed settings.
    void reload(const FleetSettings& fleet);

    /// Notifies the other instances and the store that this instance is leaving.
    Task<void> leave();

    /// Whether this instance is ready for callers.
    bool isReady() const;

    /// The instances that callers at `caller` should use for requests to `host`. None until the instance has received all that the store has,
    /// as it knows no other instance before; callers then keep those that they have and ask another instance.
    std::vector<Member> entries(std::string_view host, const CallerLocation& caller) const;

    Task<std::vector<PeerAction>> receive(InstanceId from, ControlEvent event) override;

private:
    std::vector<PeerAction> onStatusMessage(TimePoint now, const InstanceId& from, const ControlEvent& event);
    std::vector<PeerAction> onStoreUpdate(TimePoint now, const InstanceId& from, const StoreUpdate& update);
    void followStore(TimePoint now);
    void applyConfiguration();
    void applyServers();
    void applyMembership(TimePoint now);
    void noticeStoreEra(TimePoint now);
    void lockColdServers(TimePoint now);
    void updateVersions(TimePoint now);
    void applyResumableRoutes(TimePoint now);
    RegistryView registryView(TimePoint now) const;
    void updateQuarantine(TimePoint now);
    void applyStatus(TimePoint now);
    void setGauges(TimePoint now, const MembershipView& view);
    void requestStoreUpdates(TimePoint now);
    void send(const PeerAction& action);
    Task<void> storeFleetSize(std::size_t size);
    Task<void> lockColdServer(BackendServerId server, LeaseId lease, LockTermId term);
    Task<void> storeQuarantine(ServicePart part);
    Task<void> storeVersions(LedgerWrite write);
    Task<void> readVersions(TimePoint startedAt);
    void storeStreamNotes(TimePoint now);
    Task<void> writeStreamNotes(std::vector<StreamNote> notes, std::uint64_t number);
    Task<void> readStreamNotes();
    /// Whether notes are all that can tell which version began a stream if this and all other instances end.
    bool needsStoredNotes() const;
    Task<void> deleteLocks(std::vector<StoredLock> locks);
    LocalStatus localStatus(TimePoint now) const;
    Member self() const;

    Asio::io_context& context_;
    InstanceTables& tables_;
    StoreClient& store_;
    FleetState fleetState_;
    Incarnation incarnation_;
    InstanceLease lease_;
    /// The era of the store as last seen; zero before the store has answered.
    StoreEra storeEra_;
    ColdServerLocks coldServerLocks_;
    ControlLinks links_;
    std::vector<std::unique_ptr<EntryFollower>> followers_;
    MembershipTracker tracker_;
    SnapshotPointer appliedSnapshot_;
    std::uint64_t appliedRegistryVersion_ { 0 };
    /// The services of routes whose streams may be resumed, and the configuration that says so.
    std::set<ServiceId> resumableServices_;
    SnapshotPointer resumableSnapshot_;
    /// The versions of the registered backend servers of these services, as of this version of the registry.
    std::map<ServiceId, std::set<SoftwareVersion>> registeredVersions_;
    std::uint64_t registeredVersionsOf_ { 0 };
    std::map<ServiceId, std::set<SoftwareVersion>> listedVersions_;
    TimePoint nextMembershipUpdate_ {};
    /// Whether the membership was made from a complete state of the fleet. It follows that state with a delay.
    bool isMembershipComplete_ { false };
    TimePoint nextFleetSizeWrite_ {};
    PeerUpdateRequests updateRequests_;
    LargeAnswers largeAnswers_;
    StatusExchange statusExchange_;
    std::uint64_t appliedStatusVersion_ { 0 };
    TimePoint nextStreamNotesWrite_ {};
    std::uint64_t streamNotesWritten_ { 0 };
    bool areStreamNotesBeingWritten_ { false };
    bool areStreamNotesBeingRead_ { false };
    /// Of writes that failed.
    std::vector<StreamNote> unwrittenStreamNotes_;
    /// Under which this process writes notes of streams; another one is granted after the lifetime of a stream.
    std::optional<LeaseId> streamNotesLease_;
    TimePoint streamNotesLeaseSince_ {};
    TimePoint nextStreamNotesRead_ {};
    TimePoint startedAt_;
    StoreFeed storeFeed_;
    EntryLog entryLog_;
};

} // namespace Ibisturn
