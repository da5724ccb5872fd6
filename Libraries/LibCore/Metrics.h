#pragma once

#include <LibCore/Clock.h>

#include <cstdint>
#include <map>
#include <memory>
#include <mutex>
#include <string>
#include <string_view>

namespace Ibisturn {

/// Counters, gauges and latency histograms of one process, rendered in the Prometheus text format.
/// Thread safety: all methods from any thread.
class Metrics {
public:
    Metrics();
    ~Metrics();
    Metrics(const Metrics&) = delete;
    Metrics& operator=(const Metrics&) = delete;

    /// Adds `amount` to a counter. Precondition: `name` is a valid Prometheus metric name, optionally followed by {labels}.
    void increment(std::string_view name, std::uint64_t amount = 1);

    /// Sets a gauge. Precondition: as for increment().
    void set(std::string_view name, double value);

    /// Adds a sample to a latency histogram in seconds. Precondition: `name` has no labels.
    void observe(std::string_view name, Duration sample);

    /// Renders all metrics in the Prometheus text exposition format.
    std::string render() const;

private:
    class Histogram;

    mutable std::mutex mutex_;
    std::map<std::string, std::uint64_t, std::less<>> counters_;
    std::map<std::string, double, std::less<>> gauges_;
    std::map<std::string, std::unique_ptr<Histogram>, std::less<>> histograms_;
};

} // namespace Ibisturn
