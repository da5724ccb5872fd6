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

class AdmissionBoard;

/// A request's place on a backend server. It is given back when the object goes.
/// Thread safety: one coroutine at a time.
class AdmissionSlot {
public:
    struct Pool;
    using PoolPointer = std::shared_ptr<Pool>;

    AdmissionSlot(AdmissionBoard& board, PoolPointer pool, RequestId request, BackendServerId server, EnginePriority priority);
    ~AdmissionSlot();
    AdmissionSlot(const AdmissionSlot&) = delete;
    AdmissionSlot& operator=(const AdmissionSlot&) = delete;

    /// The backend server to use.
    const BackendServerId& server() const { return server_; }

    /// What to ask of the engine's own queue.
    EnginePriority priority() const { return priority_; }

    /// Notes how the request ended, before the slot is given back.
    void noteEnd(Duration firstToken, ServiceSignal signal);

private:
    AdmissionBoard& board_;
    PoolPointer pool_;
    RequestId request_;
    BackendServerId server_;
    EnginePriority priority_;
    Duration firstToken_ {};
    ServiceSignal signal_ { ServiceSignal::Unknown };
};

using AdmissionSlotPointer = std::unique_ptr<AdmissionSlot>;

/// What a request needs of a backend server of this data centre.
struct AdmissionAsk {
    RouteId route;
    WorkspaceId workspace;
    TokenCount cost;
    TimePoint deadline;
    PoolQuery query;
};

/// Holds the admission control of each route for all workers, and wakes the requests that it dispatches.
/// Thread safety: all methods from any thread, where the lock order permits the queue's level.
class AdmissionBoard {
public:
    /// `here` is the instance whose data centre's backend servers are used.
    explicit AdmissionBoard(InstanceIdentity here);

    /// Waits for a slot. Throws Error with Overloaded or DeadlineUnreachable, which means not run, and with
    /// CallerGone after a cancellation.
    /// Precondition: the route has a backend server in this data centre.
    Task<AdmissionSlotPointer> admit(AdmissionAsk ask, SnapshotPointer snapshot, MembershipPointer membership, CancellationPointer cancellation);

    /// Takes a backend server's report of its load.
    void report(TimePoint now, const BackendServerId& server, const LoadReport& report);

    /// Refuses requests whose time is over. To be called often.
    void advance(TimePoint now);

    /// Requests that wait in all.
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
    void sendBack(const AdmissionSlot::Pool& pool);
    void abandon(const PoolPointer& pool, RequestId request, const WaiterPointer& waiter);
    void finish(const PoolPointer& pool, RequestId request, Duration firstToken, ServiceSignal signal);

    InstanceIdentity here_;
    mutable OrderedMutex lock_ { LockLevel::Queue };
    std::uint64_t lastRequest_ { 0 };
    std::unordered_map<RouteId, PoolPointer> pools_;
    std::unordered_map<std::uint64_t, WaiterPointer> waiters_;
};

} // namespace Ibisturn
