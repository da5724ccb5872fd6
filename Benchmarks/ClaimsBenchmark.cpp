#include "Benchmark.h"

#include <LibDecision/Claims/ClaimTable.h>

#include <algorithm>
#include <cmath>
#include <functional>
#include <map>
#include <random>
#include <vector>

namespace Ibisturn::Benchmarks {

namespace {

constexpr Duration retryAfter = std::chrono::seconds(8);
constexpr Duration runTime = std::chrono::milliseconds(20);
constexpr Duration tickPeriod = std::chrono::milliseconds(5);
constexpr Duration length = std::chrono::seconds(60);

/// How a key is kept from running more than once.
enum class ClaimMethod : std::uint8_t {
    /// A claim record created in the store before dispatch, with several keys per transaction.
    StoreClaim,
    /// As StoreClaim, with one transaction per key.
    UnbatchedStoreClaim,
    /// A fixed owner instance that keeps its claims only in memory.
    OwnerInMemory,
    /// A key issued by the instance itself.
    IssuedKey,
};

/// The load and the fault rates of one run.
struct Conditions {
    double requestsPerSecond { 0 };
    Duration storeRoundTrip {};
    /// Share of store replies that are lost, and of requests whose entry is killed while they run.
    double lostReplyShare { 0 };
    double killShare { 0 };
};

/// The totals of one run.
struct Result {
    double requests { 0 };
    double storeCalls { 0 };
    double unknown { 0 };
    double refused { 0 };
    std::vector<double> addedMilliseconds;
};

/// Simulates one instance under a stream of requests in virtual time. A caller that gets no response would retry once at
/// another instance; the outcome of such a request counts as unknown.
class ClaimLoad {
public:
    ClaimLoad(std::uint64_t seed, ClaimMethod method, Conditions conditions)
        : random_(seed)
        , method_(method)
        , conditions_(conditions)
        , table_(self_, limitsOf(method))
    {
    }

    Result run()
    {
        arrive();
        if (method_ != ClaimMethod::OwnerInMemory)
            tick();
        while (!events_.empty()) {
            const auto next = events_.extract(events_.begin());
            now_ = next.key();
            next.mapped()();
        }
        return std::move(result_);
    }

private:
    static ClaimLimits limitsOf(ClaimMethod method)
    {
        ClaimLimits limits;
        if (method == ClaimMethod::UnbatchedStoreClaim)
            limits.maxKeysPerBatch = 1;
        return limits;
    }

    double draw() { return std::uniform_real_distribution<double>(0, 1)(random_); }
    void schedule(Duration delay, std::function<void()> event) { events_.emplace(now_ + delay, std::move(event)); }

    void arrive()
    {
        if (now_ >= TimePoint(length))
            return;
        const std::chrono::duration<double> gap(-std::log(1 - draw()) / conditions_.requestsPerSecond);
        schedule(std::chrono::duration_cast<Duration>(gap), [this] { arrive(); });
        begin();
    }

    void tick()
    {
        if (now_ >= TimePoint(length + retryAfter))
            return;
        applyAll(table_.tick(now_));
        schedule(tickPeriod, [this] { tick(); });
    }

    void begin()
    {
        result_.requests += 1;
        const ClaimAttemptId attempt(++attempts_);
        startTimes_[attempt] = now_;
        if (method_ == ClaimMethod::OwnerInMemory)
            return dispatch(attempt, {});
        ClaimId id { WorkspaceId("guides"), IdempotencyKey(std::to_string(attempt.count())) };
        if (method_ == ClaimMethod::IssuedKey)
            id.key = table_.issueKey(id.workspace);
        applyAll(table_.begin(now_, { attempt, id, "body", ClaimScope::ClaimIfUnclaimed }));
    }

    void dispatch(ClaimAttemptId attempt, const ClaimId& id)
    {
        const std::chrono::duration<double, std::milli> added = now_ - startTimes_.at(attempt);
        result_.addedMilliseconds.push_back(added.count());
        // A retry can't tell whether a run finished if its entry was killed.
        if (draw() < conditions_.killShare)
            result_.unknown += 1;
        if (method_ == ClaimMethod::OwnerInMemory || !table_.confirmDispatch(now_, id))
            return;
        schedule(runTime, [this, id] { applyAll(table_.finish(now_, id, StoredAnswer { 200, "application/json", "{}" })); });
    }

    void applyAll(const ClaimActions& actions)
    {
        for (const auto& action : actions)
            std::visit([this](const auto& one) { apply(one); }, action);
    }

    void apply(const DispatchAttempt& action) { dispatch(action.attempt, action.id); }
    void apply(const RefuseAttempt& /*action*/) { result_.refused += 1; }
    void apply(const AnswerAttempt& /*action*/) { }
    void apply(const ForwardToOwner& /*action*/) { }

    void apply(const WriteClaims& action)
    {
        result_.storeCalls += 1;
        if (draw() < conditions_.lostReplyShare) {
            write(action.writes);
            return schedule(conditions_.storeRoundTrip * 2, [this, batch = action.batch] { applyAll(table_.onBatchReply(now_, batch, BatchReplyLost {})); });
        }
        const BatchResult result = write(action.writes);
        schedule(conditions_.storeRoundTrip, [this, batch = action.batch, result] { applyAll(table_.onBatchReply(now_, batch, result)); });
    }

    BatchResult write(const std::vector<ClaimWrite>& writes)
    {
        const auto isAsExpected = [this](const ClaimWrite& write) { return store_[write.id].revision == write.expected; };
        if (!std::all_of(writes.begin(), writes.end(), isAsExpected)) {
            BatchConflicted conflicted;
            for (const auto& write : writes) {
                if (store_[write.id].record)
                    conflicted.present.push_back(store_[write.id]);
            }
            return conflicted;
        }
        revision_ = revision_.next();
        for (const auto& write : writes)
            store_[write.id] = { write.id, revision_, write.record };
        return BatchWritten { revision_ };
    }

    std::mt19937_64 random_;
    ClaimMethod method_;
    Conditions conditions_;
    ClaimOwner self_ { InstanceId("khomas-1"), Incarnation(1) };
    ClaimTable table_;
    TimePoint now_ {};
    std::multimap<TimePoint, std::function<void()>> events_;
    std::map<ClaimId, PresentClaim> store_;
    Revision revision_;
    std::uint64_t attempts_ { 0 };
    std::map<ClaimAttemptId, TimePoint> startTimes_;
    Result result_;
};

double quantile(std::vector<double> values, double share)
{
    if (values.empty())
        return 0;
    std::sort(values.begin(), values.end());
    return values.at(static_cast<std::size_t>(share * static_cast<double>(values.size() - 1)));
}

double perRequest(double count, const Result& result)
{
    return result.requests == 0 ? 0 : count / result.requests;
}

/// Prints the results of one method, with unbatched claims under the same load and faults as the baseline.
void compareWithUnbatched(const std::string& name, ClaimMethod method, Conditions conditions, std::uint64_t seed)
{
    const Result measured = ClaimLoad(seed, method, conditions).run();
    const Result baseline = ClaimLoad(seed, ClaimMethod::UnbatchedStoreClaim, conditions).run();
    print({ name, "store_calls_per_request", perRequest(measured.storeCalls, measured), perRequest(baseline.storeCalls, baseline), seed });
    print({ name, "added_ms_p50", quantile(measured.addedMilliseconds, 0.5), quantile(baseline.addedMilliseconds, 0.5), seed });
    print({ name, "added_ms_p99", quantile(measured.addedMilliseconds, 0.99), quantile(baseline.addedMilliseconds, 0.99), seed });
    print({ name, "unknown_share", perRequest(measured.unknown, measured), perRequest(baseline.unknown, baseline), seed });
    print({ name, "refused_not_run_share", perRequest(measured.refused, measured), perRequest(baseline.refused, baseline), seed });
}

void runClaims(std::uint64_t seed)
{
    using std::chrono::milliseconds;
    const Conditions lowLoad { 5, milliseconds(6), 0.01, 0.001 };
    const Conditions highLoad { 100, milliseconds(6), 0.01, 0.001 };
    const Conditions remoteStore { 100, milliseconds(110), 0.01, 0.001 };
    const Conditions remoteStoreOverload { 3000, milliseconds(110), 0.01, 0.001 };
    compareWithUnbatched("claims_batched_5_per_s_store_6ms", ClaimMethod::StoreClaim, lowLoad, seed);
    compareWithUnbatched("claims_batched_100_per_s_store_6ms", ClaimMethod::StoreClaim, highLoad, seed);
    compareWithUnbatched("claims_batched_100_per_s_store_110ms", ClaimMethod::StoreClaim, remoteStore, seed);
    compareWithUnbatched("claims_batched_3000_per_s_store_110ms", ClaimMethod::StoreClaim, remoteStoreOverload, seed);
    compareWithUnbatched("claims_owner_in_memory_100_per_s", ClaimMethod::OwnerInMemory, remoteStore, seed);
    compareWithUnbatched("claims_issued_keys_100_per_s", ClaimMethod::IssuedKey, remoteStore, seed);
}

const BenchmarkRegistration registration("claims", runClaims);

} // namespace

} // namespace Ibisturn::Benchmarks
