#include "Benchmark.h"

#include <map>

#include <CLI/CLI.hpp>
#include <fmt/format.h>

namespace Ibisturn::Benchmarks {

namespace {

constexpr std::uint64_t defaultSeed = 20261204;

std::map<std::string, BenchmarkFunction>& benchmarks()
{
    static std::map<std::string, BenchmarkFunction> table;
    return table;
}

int runAll(const std::vector<std::string>& names, std::uint64_t seed)
{
    for (const auto& name : names) {
        if (!benchmarks().contains(name)) {
            fmt::print(stderr, "There is no benchmark named {}\n", name);
            return 2;
        }
    }
    for (const auto& [name, run] : benchmarks()) {
        if (names.empty() || std::find(names.begin(), names.end(), name) != names.end())
            run(seed);
    }
    return 0;
}

int runProgram(int argc, char** argv)
{
    CLI::App app { "Measures decisions and the data path against baselines" };
    std::vector<std::string> names;
    std::uint64_t seed = defaultSeed;
    app.add_option("names", names, "Benchmarks to run; all of them by default");
    app.add_option("--seed", seed, "Seed of the random generators")->capture_default_str();
    CLI11_PARSE(app, argc, argv);
    return runAll(names, seed);
}

} // namespace

void print(const Measurement& measurement)
{
    const double ratio = measurement.baseline == 0 ? 0 : measurement.value / measurement.baseline;
    fmt::print("{} {}={:.6g} baseline={:.6g} ratio={:.4g} seed={}\n", measurement.name, measurement.metric, measurement.value,
        measurement.baseline, ratio, measurement.seed);
}

BenchmarkRegistration::BenchmarkRegistration(std::string name, BenchmarkFunction run)
{
    benchmarks().emplace(std::move(name), run);
}

} // namespace Ibisturn::Benchmarks

int main(int argc, char** argv)
{
    return Ibisturn::Benchmarks::runProgram(argc, argv);
}
