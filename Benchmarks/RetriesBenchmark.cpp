#include "Benchmark.h"

#include <LibDecision/Requests/RetryBudget.h>

#include <algorithm>
#include <map>
#include <random>

namespace Ibisturn::Benchmarks {

namespace {

using namespace std::chrono_literals;

constexpr Duration step = 10ms;
constexpr Duration runLength = 60s;
constexpr Duration failureStart = 20s;
constexpr Duration failureEnd = 40s;
constexpr Duration retryDelay = 50ms;
constexpr double requestsPerSecond = 90;
constexpr double capacity = 100;
constexpr double failingCapacity = 40;
/// The cost of refusing a call, as a share of the cost of running it.
constexpr double refusalCost = 0.25;
/// Queued work beyond which a backend server refuses calls.
constexpr double maxQueuedWork = 10;
constexpr int maxAttempts = 3;

enum class RetryPolicy : std::uint8_t {
    /// Retries each failed attempt.
    Always,
    /// Retries as far as the instance's retry budget permits.
    Budget,
};

struct Outcome {
    std::uint64_t requests { 0 };
    std::uint64_t calls { 0 };
    std::uint64_t answered { 0 };
    std::uint64_t requestsDuringFailure { 0 };
    std::uint64_t answeredDuringFailure { 0 };
};

struct Attempt {
    int number { 1 };
    bool isDuringFailure { false };
};

/// Simulates one backend server that temporarily loses a part of its capacity and refuses the calls that exceed it.
/// A refusal also consumes capacity.
class FailingBackend {
public:
    FailingBackend(RetryPolicy policy, std::uint64_t seed)
        : policy_(policy)
        , random_(seed)
    {
    }

    Outcome run()
    {
        for (; now_ < TimePoint {} + runLength; now_ += step) {
            const double completedWork = (isFailing() ? failingCapacity : capacity) * std::chrono::duration<double>(step).count();
            queuedWork_ = std::max(0.0, queuedWork_ - completedWork);
            arrive();
            while (!retries_.empty() && retries_.begin()->first <= now_)
                call(retries_.extract(retries_.begin()).mapped());
        }
        return outcome_;
    }

private:
    bool isFailing() const { return now_ >= TimePoint {} + failureStart && now_ < TimePoint {} + failureEnd; }

    void arrive()
    {
        const double expected = requestsPerSecond * std::chrono::duration<double>(step).count();
        const auto count = std::poisson_distribution<int>(expected)(random_);
        for (int request = 0; request < count; ++request) {
            budget_.recordRequest(now_);
            ++outcome_.requests;
            outcome_.requestsDuringFailure += isFailing() ? 1 : 0;
            call({ 1, isFailing() });
        }
    }

    void call(const Attempt& attempt)
    {
        ++outcome_.calls;
        if (queuedWork_ < maxQueuedWork) {
            queuedWork_ += 1;
            ++outcome_.answered;
            outcome_.answeredDuringFailure += attempt.isDuringFailure ? 1 : 0;
            return;
        }
        queuedWork_ += refusalCost;
        const bool canRetry = attempt.number < maxAttempts && (policy_ == RetryPolicy::Always || budget_.takeRetry(now_));
        if (canRetry)
            retries_.emplace(now_ + retryDelay, Attempt { attempt.number + 1, attempt.isDuringFailure });
    }

    RetryPolicy policy_;
    std::mt19937_64 random_;
    TimePoint now_ {};
    RetryBudget budget_;
    std::multimap<TimePoint, Attempt> retries_;
    double queuedWork_ { 0 };
    Outcome outcome_;
};

void run(std::uint64_t seed)
{
    const auto budget = FailingBackend(RetryPolicy::Budget, seed).run();
    const auto always = FailingBackend(RetryPolicy::Always, seed).run();
    const auto share = [](std::uint64_t part, std::uint64_t total) { return static_cast<double>(part) / static_cast<double>(total); };
    print({ "retries", "goodput", share(budget.answered, budget.requests), share(always.answered, always.requests), seed });
    print({ "retries", "goodput_in_failure", share(budget.answeredDuringFailure, budget.requestsDuringFailure), share(always.answeredDuringFailure, always.requestsDuringFailure), seed });
    print({ "retries", "calls_per_request", share(budget.calls, budget.requests), share(always.calls, always.requests), seed });
}

const BenchmarkRegistration registration("retries", run);

} // namespace

} // namespace Ibisturn::Benchmarks
