#pragma once

#include <LibConfiguration/Settings.h>
#include <LibCore/OrderedMutex.h>
#include <LibDecision/Claims/ClaimTable.h>
#include <LibPlatform/StoreClient.h>

#include <map>
#include <memory>
#include <optional>

namespace Ibisturn {

/// What became of one attempt's wish to run.
using ClaimVerdict = std::variant<DispatchAttempt, AnswerAttempt, RefuseAttempt, AskOwner>;

/// The claims of one instance: the table of decisions, the callers that wait for it, and its batches on their way
/// to the store.
/// Thread safety: all methods from any thread, unless they say otherwise.
class ClaimService {
public:
    /// Precondition: `store` outlives the service and is used on the worker of `storeExecutor` only.
    ClaimService(const Settings& settings, StoreClient& store, Asio::any_io_executor storeExecutor);

    /// Waits until the attempt is decided, at most until `deadline`. A verdict to dispatch has to be followed by
    /// confirmDispatch() and then by finish() or fail().
    Task<ClaimVerdict> obtain(ClaimId id, std::string bodyDigest, ClaimScope scope, TimePoint deadline);

    /// As the methods of ClaimTable.
    bool confirmDispatch(const ClaimId& id);
    void finish(const ClaimId& id, std::optional<StoredAnswer> answer);
    void fail(const ClaimId& id, RunFailure failure);
    IdempotencyKey issueKey(const WorkspaceId& workspace);

    /// Larger answers need not be kept for finish().
    ByteCount largestAnswer() const { return limits_.largestAnswer; }

    /// Tells the table the time, for ever. Precondition: runs once, on the store's worker.
    Task<void> drive();

    /// Writes what waits for the store, until there is nothing or `deadline` has come.
    Task<void> drain(TimePoint deadline);

private:
    /// A coroutine that waits for its attempt's verdict.
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
    void apply(AskOwner action) { resolve(std::move(action)); }
    bool resolve(ClaimVerdict verdict);
    Task<void> sendBatch(WriteClaims action);
    Task<BatchResult> transact(WriteClaims action);
    Task<void> renewLease();
    std::string storeKey(const ClaimId& id) const;

    const ClaimLimits limits_;
    const std::string storePrefix_;
    StoreClient& store_;
    Asio::any_io_executor storeExecutor_;
    /// Of the store's worker.
    std::optional<LeaseId> lease_;
    TimePoint leaseGranted_ {};
    mutable OrderedMutex lock_ { LockLevel::Claims };
    ClaimTable table_;
    std::uint64_t lastAttempt_ { 0 };
    std::map<ClaimAttemptId, WaiterPointer> waiters_;
};

} // namespace Ibisturn
