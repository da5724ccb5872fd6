#pragma once

#include <LibCore/OrderedMutex.h>
#include <LibDecision/Membership/MembershipView.h>
#include <LibDecision/Requests/HealthTable.h>
#include <LibDecision/Requests/RequestLifecycle.h>
#include <LibDecision/Requests/RetryBudget.h>

namespace Ibisturn {

/// What an attempt showed about the backend server or instance that it was sent to.
enum class AttemptEvidence : std::uint8_t {
    /// The attempt shows nothing about the target, for example because this side cancelled it.
    Nothing,
    Success,
    Failure,
    /// The target reported that it is draining.
    Leaving,
};

/// The health of backend servers and other instances as observed by this instance's calls, and its retry budget,
/// shared by all workers. Thread safety: all methods from any thread, where the lock order permits the load's level.
class SharedHealthTable {
public:
    /// Records a request's first attempt in the retry budget.
    void recordRequest(TimePoint now);

    /// Takes a retry from the budget. Returns false if the budget is exhausted.
    bool takeRetry(TimePoint now);

    /// Records an attempt that is about to be sent to `place`.
    void recordDispatch(const Place& place);

    /// Records what the attempt showed. Precondition: recordDispatch() was called for it.
    void recordEvidence(const Place& place, AttemptEvidence evidence, TimePoint now);

    /// Records that a backend server reported that it is draining.
    void recordLeaving(const BackendServerId& server, TimePoint now);

    /// Returns a copy of `view` in which the backend servers and instances that are unhealthy now or that failed this
    /// request before are marked as leaving, or `view` itself if all are usable.
    MembershipPointer withoutUnhealthy(const MembershipPointer& view, const Snapshot& snapshot, const RouteId& route, const RequestLifecycle& lifecycle,
        TimePoint now) const;

private:
    mutable OrderedMutex lock_ { LockLevel::Load };
    BackendHealth backendServers_;
    PeerHealth instances_;
    RetryBudget budget_;
};

} // namespace Ibisturn
