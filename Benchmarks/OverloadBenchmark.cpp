#include "Benchmark.h"
#include "PoolModel.h"

#include <fmt/format.h>

namespace Ibisturn::Benchmarks {

namespace {

constexpr Duration length = std::chrono::seconds(180);
constexpr std::uint64_t seedCount = 3;
constexpr double capacityRequestsPerSecond = 45;
constexpr Duration patience = std::chrono::seconds(5);
constexpr std::uint32_t unlimited = 100000;

// Requests per second whose first token arrived within the caller's patience.
double goodput(double loadMultiple, bool hasLimits, std::uint64_t seed)
{
    constexpr int workspaces = 10;
    std::vector<WorkspaceLoad> loads;
    loads.reserve(workspaces);
    for (int index = 0; index < workspaces; ++index)
        loads.push_back({ fmt::format("workspace-{}", index), capacityRequestsPerSecond * loadMultiple / workspaces, 400, 100, 4, patience });
    PoolModelOptions options;
    if (!hasLimits) {
        // Without limits and load reports, every request is sent to a replica's own queue immediately.
        options.reportLoss = 1;
        options.initialLimit = unlimited;
        options.maxLimit = unlimited;
    }
    PoolModel model(
        options, [] { return std::make_unique<LeastLoadedStrategy>(); }, seed);
    const auto outcomes = model.run(generateWorkload(loads, length, seed));
    const auto onTime = std::count_if(outcomes.begin(), outcomes.end(), [](const auto& outcome) { return outcome.isOnTime; });
    return static_cast<double>(onTime) / std::chrono::duration<double>(length).count();
}

void run(std::uint64_t seed)
{
    for (std::uint64_t offset = 0; offset < seedCount; ++offset) {
        const auto currentSeed = seed + offset;
        double peak = 0;
        for (const double loadMultiple : { 0.5, 0.8, 1.0, 1.2, 1.5, 2.0, 3.0 }) {
            const auto withLimits = goodput(loadMultiple, true, currentSeed);
            peak = std::max(peak, withLimits);
            print({ "overload", fmt::format("goodput_per_second_at_{}x_vs_no_limits", loadMultiple), withLimits, goodput(loadMultiple, false, currentSeed), currentSeed });
        }
        print({ "overload", "goodput_per_second_at_3x_vs_peak", goodput(3.0, true, currentSeed), peak, currentSeed });
    }
}

const BenchmarkRegistration registration("overload", run);

} // namespace

} // namespace Ibisturn::Benchmarks
