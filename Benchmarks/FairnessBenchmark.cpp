#include "Benchmark.h"
#include "PoolModel.h"

namespace Ibisturn::Benchmarks {

namespace {

constexpr Duration length = std::chrono::seconds(3600);
constexpr std::uint64_t seedCount = 5;
constexpr double loadFactor = 1.25;

// The pool's capacity is about 43 requests/s of this size, so the large workspace sends about twice the capacity.
const WorkspaceLoad large { "large", 80, 400, 100, 4, std::chrono::seconds(30) };
const WorkspaceLoad small { "small", 10.0 / 60, 400, 100, 2, std::chrono::seconds(30) };

/// Quantiles of the small workspace's time to first token, in seconds.
struct SmallWaits {
    double p50 { 0 };
    double p90 { 0 };
    double p99 { 0 };
};

enum class QueueKind : std::uint8_t {
    FairQueue,
    SharedQueue,
};

SmallWaits measure(const std::vector<WorkspaceLoad>& loads, QueueKind queue, std::uint64_t seed)
{
    PoolModelOptions options;
    options.queue = queue == QueueKind::SharedQueue ? LaneKind::Shared : LaneKind::PerWorkspace;
    PoolModel model(
        options, [] { return std::make_unique<PrefixAffinityStrategy>(loadFactor); }, seed);
    const auto outcomes = model.run(generateWorkload(loads, length, seed));
    const auto quantile = [&outcomes](double probability) { return timeToFirstTokenQuantile(outcomes, "small", probability); };
    return { quantile(0.5), quantile(0.9), quantile(0.99) };
}

// The small workspace's wait while another workspace sends twice the capacity. The baselines are its wait when it is
// alone, and its wait with one queue for all workspaces.
void run(std::uint64_t seed)
{
    for (std::uint64_t offset = 0; offset < seedCount; ++offset) {
        const auto currentSeed = seed + offset;
        const auto alone = measure({ small }, QueueKind::FairQueue, currentSeed);
        const auto fair = measure({ small, large }, QueueKind::FairQueue, currentSeed);
        const auto sharedQueue = measure({ small, large }, QueueKind::SharedQueue, currentSeed);
        print({ "fairness", "small_p50_seconds_fair_vs_alone", fair.p50, alone.p50, currentSeed });
        print({ "fairness", "small_p90_seconds_fair_vs_alone", fair.p90, alone.p90, currentSeed });
        print({ "fairness", "small_p99_seconds_fair_vs_alone", fair.p99, alone.p99, currentSeed });
        print({ "fairness", "small_p99_seconds_fair_vs_one_queue", fair.p99, sharedQueue.p99, currentSeed });
    }
}

const BenchmarkRegistration registration("fairness", run);

} // namespace

} // namespace Ibisturn::Benchmarks
