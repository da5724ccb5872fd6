#pragma once

#include <LibConfiguration/Snapshot.h>
#include <LibCore/OrderedMutex.h>
#include <LibDecision/Admission/AdmissionControl.h>
#include <LibDecision/Membership/MembershipView.h>
#include <LibHTTP/Requests/Cancellation.h>
#include <LibKernel/Asio.h>

#include <map>
#include <memory>
#include <unordered_map>

namespace Ibisturn {

class SharedAdmissionControl;

/// A request's slot on a backend server. The destructor releases it.
/// Thread safety: one coroutine at a time.
class AdmissionSlot {
public:
    struct Pool;
    using PoolPointer = std::shared_ptr<Pool>;

    AdmissionSlot(SharedAdmissionControl& admission, PoolPointer pool, RequestId request, BackendServerId server, EnginePriority priority);
    ~AdmissionSlot();
    AdmissionSlot(const AdmissionSlot&) = delete;
    AdmissionSlot& operator=(const AdmissionSlot&) = delete;

    /// The backend server to use.
    const BackendServerId& server() const { return server_; }

    /// The priority for the engine's own queue.
    EnginePriority priority() const { return priority_; }

    /// Records how the request ended, for the release of the slot.
    void recordEnd(Duration firstToken, ServiceSignal signal);

private:
    SharedAdmissionControl& admission_;
    PoolPointer pool_;
    RequestId request_;
    BackendServerId server_;
    EnginePriority priority_;
    Duration firstToken_ {};
    ServiceSignal signal_ { ServiceSignal::Unknown };
};

using AdmissionSlotPointer = std::unique_ptr<AdmissionSlot>;

/// What a request needs from a backend server of this data centre.
struct AdmissionQuery {
    RouteId route;
    WorkspaceId workspace;
    TokenCount cost;
    TimePoint deadline;
    PoolQuery query;
};

/// Holds the admission control of each route, shared by all workers, and resumes the coroutines of dispatched requests.
/// Thread safety: all methods from any thread, where the lock order permits the queue's level.
class SharedAdmissionControl {
public:
    /// `here` identifies this instance; the backend servers of its data centre are used.
    explicit SharedAdmissionControl(InstanceIdentity here);

    /// Waits for a slot. Throws Error with Overloaded or DeadlineUnreachable if the request is refused, and with
    /// CallerGone after a cancellation; in each case the request has not run.
    /// Precondition: the route has a backend server in this data centre.
    Task<AdmissionSlotPointer> admit(AdmissionQuery query, SnapshotPointer snapshot, MembershipPointer membership, CancellationPointer cancellation);

    /// Applies a load report of a backend server.
    void report(TimePoint now, const BackendServerId& server, const LoadReport& report);

    /// Refuses requests whose deadline has passed. Must be called frequently.
    void advance(TimePoint now);

    /// The number of waiting requests of all routes.
    std::size_t waiting() const;

private:
    friend class AdmissionSlot;

    struct Waiter;
    using WaiterPointer = std::shared_ptr<Waiter>;
    using PoolPointer = AdmissionSlot::PoolPointer;

    PoolPointer poolFor(const RouteId& route, const SnapshotPointer& snapshot, const MembershipPointer& membership);
    PoolPointer makePool(const std::vector<BackendServerId>& servers) const;
    void applyMembership(AdmissionSlot::Pool& pool, const MembershipPointer& membership) const;
    void deliver(const std::vector<AdmissionAction>& actions);
    void requeueWaiters(const AdmissionSlot::Pool& pool);
    void abandon(const PoolPointer& pool, RequestId request, const WaiterPointer& waiter);
    void finish(const PoolPointer& pool, RequestId request, Duration firstToken, ServiceSignal signal);

    InstanceIdentity here_;
    mutable OrderedMutex lock_ { LockLevel::Queue };
    std::uint64_t lastRequest_ { 0 };
    std::unordered_map<RouteId, PoolPointer> pools_;
    std::unordered_map<std::uint64_t, WaiterPointer> waiters_;
};

} // namespace Ibisturn
