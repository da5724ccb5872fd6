#pragma once

#include <cstdint>
#include <string>
#include <vector>

namespace Ibisturn::Benchmarks {

/// One measured figure beside its baseline, from the same run.
struct Measurement {
    std::string name;
    std::string metric;
    double value { 0 };
    double baseline { 0 };
    std::uint64_t seed { 0 };
};

/// Prints `NAME metric=value baseline=value ratio=value seed=N`. Thread safety: one thread.
void print(const Measurement& measurement);

using BenchmarkFunction = void (*)(std::uint64_t seed);

/// A benchmark by name; one registers itself as a static object of its source file.
struct BenchmarkRegistration {
    BenchmarkRegistration(std::string name, BenchmarkFunction run);
};

} // namespace Ibisturn::Benchmarks
