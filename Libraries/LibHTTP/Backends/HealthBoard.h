#pragma once

#include <LibCore/OrderedMutex.h>
#include <LibDecision/Membership/MembershipView.h>
#include <LibDecision/Requests/HealthTable.h>
#include <LibDecision/Requests/RequestLife.h>
#include <LibDecision/Requests/RetryBudget.h>

namespace Ibisturn {

/// What an attempt showed of the backend server or instance it went to.
enum class AttemptEvidence : std::uint8_t {
    /// It was cancelled from this side.
    Nothing,
    Success,
    Failure,
    /// The target said that it leaves.
    Leaving,
};

/// What this instance's calls show of backend servers and other instances, and its budget of retries, for all
/// workers. Thread safety: all methods from any thread, where the lock order permits the load's level.
class HealthBoard {
public:
    /// Notes a request's first attempt in the budget.
    void noteRequest(TimePoint now);

    /// Takes a retry from the budget.
    bool takeRetry(TimePoint now);

    /// Notes an attempt that is about to go to `place`.
    void noteDispatch(const Place& place);

    /// Notes what the attempt showed. Precondition: noteDispatch() was called for it.
    void noteEvidence(const Place& place, AttemptEvidence evidence, TimePoint now);

    /// Notes that a backend server said of itself that it leaves.
    void noteLeaving(const BackendServerId& server, TimePoint now);

    /// `view` without the backend servers and instances that may not be used now or failed `life` before.
    /// Returns `view` itself if all may be used.
    MembershipPointer withoutTroubled(const MembershipPointer& view, const Snapshot& snapshot, const RouteId& route, const RequestLife& life,
        TimePoint now) const;

private:
    mutable OrderedMutex lock_ { LockLevel::Load };
    BackendHealth backendServers_;
    PeerHealth instances_;
    RetryBudget budget_;
};

} // namespace Ibisturn
