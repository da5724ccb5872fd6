#pragma once

#include <LibConfiguration/Settings.h>
#include <LibCore/OrderedMutex.h>
#include <LibDecision/Claims/ClaimTable.h>
#include <LibPlatform/StoreClient.h>

#include <map>
#include <memory>
#include <optional>

namespace Ibisturn {

/// The decision on one attempt to run a claimed request.
using ClaimVerdict = std::variant<DispatchAttempt, AnswerAttempt, RefuseAttempt, ForwardToOwner>;

/// The claims of one instance: the claim table, the callers that wait for its decisions, and the batches that are
/// being written to the store.
/// Thread safety: all methods from any thread, unless they say otherwise.
class ClaimService {
public:
    /// Precondition: `store` outlives the service and is used on the worker of `storeExecutor` only.
    ClaimService(const Settings& settings, StoreClient& store, Asio::any_io_executor storeExecutor);

    /// Waits for the decision on the attempt, at most until `deadline`. A DispatchAttempt must be followed by
    /// confirmDispatch() and then by finish() or fail().
    Task<ClaimVerdict> awaitVerdict(ClaimId id, std::string bodyDigest, ClaimScope scope, TimePoint deadline);

    /// See the methods of ClaimTable.
    bool confirmDispatch(const ClaimId& id);
    void finish(const ClaimId& id, std::optional<StoredAnswer> answer);
    void fail(const ClaimId& id, RunFailure failure);
    IdempotencyKey issueKey(const WorkspaceId& workspace);

    /// Answers larger than this are not stored, so they need not be passed to finish().
    ByteCount maxAnswerSize() const { return limits_.maxAnswerSize; }

    /// Calls the table's tick() periodically and never returns. Precondition: runs once, on the store's worker.
    Task<void> runTimer();

    /// Waits until the table is idle, i.e. all pending claims are written, or until `deadline`.
    Task<void> drain(TimePoint deadline);

private:
    /// A coroutine that waits for the decision on its attempt.
    struct Waiter {
        Asio::steady_timer timer;
        std::optional<ClaimVerdict> verdict;
    };

    using WaiterPointer = std::shared_ptr<Waiter>;

    void perform(ClaimActions actions);
    void apply(WriteClaims action);
    void apply(DispatchAttempt action);
    void apply(AnswerAttempt action) { resolve(std::move(action)); }
    void apply(RefuseAttempt action) { resolve(action); }
    void apply(ForwardToOwner action) { resolve(std::move(action)); }
    bool resolve(ClaimVerdict verdict);
    Task<void> sendBatch(WriteClaims action);
    Task<BatchResult> transact(WriteClaims action);
    Task<void> renewLease();
    std::string storeKey(const ClaimId& id) const;

    const ClaimLimits limits_;
    const std::string storePrefix_;
    StoreClient& store_;
    Asio::any_io_executor storeExecutor_;
    /// Used by the store's worker only.
    std::optional<LeaseId> lease_;
    TimePoint leaseGranted_ {};
    mutable OrderedMutex lock_ { LockLevel::Claims };
    ClaimTable table_;
    std::uint64_t lastAttempt_ { 0 };
    std::map<ClaimAttemptId, WaiterPointer> waiters_;
};

} // namespace Ibisturn
