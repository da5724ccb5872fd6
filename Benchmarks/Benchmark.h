#pragma once

#include <cstdint>
#include <string>
#include <vector>

namespace Ibisturn::Benchmarks {

/// One measured value and its baseline from the same run.
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

/// Registers a benchmark under a name. Each source file has one as a static object.
struct BenchmarkRegistration {
    BenchmarkRegistration(std::string name, BenchmarkFunction run);
};

} // namespace Ibisturn::Benchmarks
