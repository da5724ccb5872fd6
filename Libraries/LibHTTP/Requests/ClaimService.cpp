#include <LibHTTP/Requests/ClaimService.h>

#include <LibCore/Error.h>
#include <LibCore/RandomIdentity.h>
#include <LibCore/SteadyClock.h>
#include <LibKernel/Pause.h>
#include <LibKernel/SpawnDetached.h>

#include <utility>

namespace Ibisturn {

namespace {

constexpr Log claimLog("claims");
constexpr Duration tickPeriod = std::chrono::milliseconds(5);
/// All claims of this period share one lease. The lease outlasts the period by the retention, so each claim is kept at
/// least that long.
constexpr Duration leasePeriod = std::chrono::hours(1);

} // namespace

ClaimService::ClaimService(const Settings& settings, StoreClient& store, Asio::any_io_executor storeExecutor)
    : storePrefix_(settings.storePrefix)
    , store_(store)
    , storeExecutor_(std::move(storeExecutor))
    , table_({ settings.identity.instance, generateIncarnation() }, limits_)
{
}

Task<ClaimVerdict> ClaimService::awaitVerdict(ClaimId id, std::string bodyDigest, ClaimScope scope, TimePoint deadline)
{
    const auto executor = co_await Asio::this_coro::executor;
    const auto waiter = std::make_shared<Waiter>(Waiter { Asio::steady_timer(executor), std::nullopt });
    ClaimAttemptId attempt;
    {
        const std::scoped_lock lock(lock_);
        attempt = ClaimAttemptId(++lastAttempt_);
        waiters_.emplace(attempt, waiter);
        perform(table_.begin(SteadyClock().now(), { attempt, std::move(id), std::move(bodyDigest), scope }));
    }
    for (;;) {
        const auto left = deadline - SteadyClock().now();
        {
            const std::scoped_lock lock(lock_);
            if (waiter->verdict || left <= Duration::zero()) {
                waiters_.erase(attempt);
                break;
            }
        }
        // A verdict cancels the timer on this worker, so the cancellation can't run between the check above and the wait.
        waiter->timer.expires_after(left);
        boost::system::error_code ignored;
        co_await waiter->timer.async_wait(Asio::redirect_error(Asio::use_awaitable, ignored));
    }
    if (waiter->verdict)
        co_return std::move(*waiter->verdict);
    ClaimVerdict timedOut = RefuseAttempt { attempt, ResultCode::DeadlineExceeded, Ran::Unknown };
    co_return timedOut;
}

bool ClaimService::confirmDispatch(const ClaimId& id)
{
    const std::scoped_lock lock(lock_);
    return table_.confirmDispatch(SteadyClock().now(), id);
}

void ClaimService::finish(const ClaimId& id, std::optional<StoredAnswer> answer)
{
    const std::scoped_lock lock(lock_);
    perform(table_.finish(SteadyClock().now(), id, std::move(answer)));
}

void ClaimService::fail(const ClaimId& id, RunFailure failure)
{
    const std::scoped_lock lock(lock_);
    perform(table_.fail(SteadyClock().now(), id, failure));
}

IdempotencyKey ClaimService::issueKey(const WorkspaceId& workspace)
{
    const std::scoped_lock lock(lock_);
    return table_.issueKey(workspace);
}

Task<void> ClaimService::runTimer()
{
    for (;;) {
        {
            const std::scoped_lock lock(lock_);
            perform(table_.tick(SteadyClock().now()));
        }
        co_await pause(tickPeriod);
    }
}

Task<void> ClaimService::drain(TimePoint deadline)
{
    bool isIdle = false;
    while (!isIdle && SteadyClock().now() < deadline) {
        co_await pause(tickPeriod);
        const std::scoped_lock lock(lock_);
        isIdle = table_.isIdle();
    }
}

// Precondition of this method and all that it calls: this thread holds the lock.
void ClaimService::perform(ClaimActions actions)
{
    for (auto& action : actions)
        std::visit([this](auto& one) { apply(std::move(one)); }, action);
}

void ClaimService::apply(WriteClaims action)
{
    spawnDetached(storeExecutor_, sendBatch(std::move(action)), "claim batch");
}

void ClaimService::apply(DispatchAttempt action)
{
    const ClaimId id = action.id;
    if (resolve(std::move(action)))
        return;
    // The waiter is no longer registered, so the attempt will not be dispatched.
    perform(table_.fail(SteadyClock().now(), id, { ResultCode::DeadlineExceeded, Ran::No }));
}

bool ClaimService::resolve(ClaimVerdict verdict)
{
    const auto attempt = std::visit([](const auto& one) { return one.attempt; }, verdict);
    const auto found = waiters_.find(attempt);
    if (found == waiters_.end())
        return false;
    const WaiterPointer waiter = found->second;
    waiter->verdict = std::move(verdict);
    Asio::post(waiter->timer.get_executor(), [waiter] { waiter->timer.cancel(); });
    return true;
}

Task<void> ClaimService::sendBatch(WriteClaims action)
{
    const auto batch = action.batch;
    const BatchResult result = co_await transact(std::move(action));
    const std::scoped_lock lock(lock_);
    perform(table_.onBatchReply(SteadyClock().now(), batch, result));
}

Task<BatchResult> ClaimService::transact(WriteClaims action)
{
    BatchResult result = BatchReplyLost {};
    try {
        co_await renewLease();
        std::map<std::string, ClaimId> ids;
        std::vector<StoreWrite> writes;
        for (const auto& write : action.writes) {
            writes.push_back({ storeKey(write.id), encodeClaimRecord(write.record), write.expected, lease_ });
            ids.emplace(writes.back().key, write.id);
        }
        const StoreWriteResult reply = co_await store_.transact(std::move(writes));
        if (reply.outcome == WriteOutcome::Written)
            co_return BatchWritten { reply.revision };
        BatchConflicted conflicted;
        for (const auto& entry : reply.current)
            conflicted.present.push_back({ ids.at(entry.key), entry.revision, decodeClaimRecord(entry.value) });
        result = std::move(conflicted);
    } catch (const Error& error) {
        claimLog.debug("Batch failed.", { { "reason", error.what() } });
        if (error.code() == ResultCode::StoreUnavailable)
            result = BatchRefused {};
        // The store may have lost the lease together with its other state.
        lease_.reset();
    } catch (const std::exception& error) {
        claimLog.warning("Batch failed.", { { "reason", error.what() } });
        lease_.reset();
    }
    co_return result;
}

Task<void> ClaimService::renewLease()
{
    const auto now = SteadyClock().now();
    if (lease_ && now - leaseGranted_ < leasePeriod)
        co_return;
    const LeaseId lease = co_await store_.grantLease(limits_.retention + leasePeriod);
    lease_ = lease;
    leaseGranted_ = now;
}

std::string ClaimService::storeKey(const ClaimId& id) const
{
    return storePrefix_ + claimStoreKey(id);
}

} // namespace Ibisturn
