#include "Benchmark.h"
#include "PoolModel.h"

#include <chrono>
#include <map>

#include <fmt/format.h>

namespace Ibisturn::Benchmarks {

namespace {

constexpr Duration length = std::chrono::seconds(300);
constexpr std::uint64_t seedCount = 3;
constexpr double loadFactor = 1.25;
constexpr std::size_t decisionCount = 100000;

const std::map<std::string, PoolModel::StrategyFactory>& strategies()
{
    static const std::map<std::string, PoolModel::StrategyFactory> table {
        { "random", [] { return std::make_unique<RandomStrategy>(); } },
        { "round_robin", [] { return std::make_unique<RoundRobinStrategy>(); } },
        { "least_reported", [] { return std::make_unique<LeastReportedStrategy>(); } },
        { "least_loaded", [] { return std::make_unique<LeastLoadedStrategy>(); } },
        { "prefix_affinity", [] { return std::make_unique<PrefixAffinityStrategy>(loadFactor); } },
    };
    return table;
}

// Two large workspaces and eight small ones, at about 80 % of the capacity.
std::vector<WorkspaceLoad> mixedLoads()
{
    std::vector<WorkspaceLoad> loads { { "large-1", 12, 1200, 100, 40 }, { "large-2", 12, 1200, 100, 40 } };
    for (int index = 0; index < 8; ++index)
        loads.push_back({ fmt::format("small-{}", index), 0.5, 1200, 100, 8 });
    return loads;
}

double worstWorkspaceQuantile(const std::vector<RequestOutcome>& outcomes, const std::vector<WorkspaceLoad>& loads)
{
    double worst = 0;
    for (const auto& load : loads)
        worst = std::max(worst, timeToFirstTokenQuantile(outcomes, load.workspace, 0.99));
    return worst;
}

void compareStrategies(std::uint64_t seed)
{
    const auto loads = mixedLoads();
    const auto workload = generateWorkload(loads, length, seed);
    const auto measure = [&](const std::string& name) {
        PoolModel model({}, strategies().at(name), seed);
        const auto outcomes = model.run(workload);
        return std::array { timeToFirstTokenQuantile(outcomes, "", 0.5), timeToFirstTokenQuantile(outcomes, "", 0.99), worstWorkspaceQuantile(outcomes, loads), model.cacheHitRatio() };
    };
    const auto baseline = measure("random");
    for (const auto& [name, factory] : strategies()) {
        const auto figures = measure(name);
        print({ "routing", name + "_first_token_p50_seconds", figures[0], baseline[0], seed });
        print({ "routing", name + "_first_token_p99_seconds", figures[1], baseline[1], seed });
        print({ "routing", name + "_worst_workspace_p99_seconds", figures[2], baseline[2], seed });
        print({ "routing", name + "_cache_hit_share", figures[3], baseline[3], seed });
    }
}

// The median time of one decision, from enqueue to finish, with this many replicas and workspaces.
double microsecondsPerDecision(std::size_t replicas, std::size_t workspaces)
{
    std::vector<BackendServerId> names;
    for (std::size_t index = 0; index < replicas; ++index)
        names.emplace_back(fmt::format("engine-{}", index));
    std::vector<WorkspaceId> ids;
    for (std::size_t index = 0; index < workspaces; ++index)
        ids.emplace_back(fmt::format("workspace-{}", index));
    AdmissionControl control(BackendPool(names, 8, 64), std::make_unique<PrefixAffinityStrategy>(loadFactor), {});
    std::mt19937_64 random(1);
    std::vector<double> samples;
    samples.reserve(decisionCount);
    for (std::size_t index = 0; index < decisionCount; ++index) {
        const TimePoint now { std::chrono::microseconds(index * 100) };
        const AdmissionRequest request { RequestId(index), ids[random() % workspaces], TokenCount(500), now + std::chrono::seconds(10), { random(), random() } };
        const auto before = std::chrono::steady_clock::now();
        const auto actions = control.arrive(now, request);
        if (index >= replicas)
            control.finish(now, RequestId(index - replicas), std::chrono::milliseconds(50), ServiceSignal::Answered);
        samples.push_back(std::chrono::duration<double, std::micro>(std::chrono::steady_clock::now() - before).count());
    }
    std::nth_element(samples.begin(), samples.begin() + decisionCount / 2, samples.end());
    return samples[decisionCount / 2];
}

void run(std::uint64_t seed)
{
    for (std::uint64_t offset = 0; offset < seedCount; ++offset)
        compareStrategies(seed + offset);
    const auto small = microsecondsPerDecision(17, 14);
    print({ "routing", "decision_p50_microseconds_170_replicas_140_workspaces", microsecondsPerDecision(170, 140), small, seed });
    print({ "routing", "decision_p50_microseconds_1700_replicas_1400_workspaces", microsecondsPerDecision(1700, 1400), small, seed });
}

const BenchmarkRegistration registration("routing", run);

} // namespace

} // namespace Ibisturn::Benchmarks
