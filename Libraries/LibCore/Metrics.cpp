#include <LibCore/Metrics.h>

#include <algorithm>
#include <array>

#include <boost/accumulators/accumulators.hpp>
#include <boost/accumulators/statistics/count.hpp>
#include <boost/accumulators/statistics/stats.hpp>
#include <boost/accumulators/statistics/sum.hpp>
#include <fmt/format.h>

namespace Ibisturn {

namespace Accumulators = boost::accumulators;

namespace {

/// Upper bounds in seconds, from answers served from memory to the longest route timeouts.
constexpr std::array<double, 14> bucketBounds { 0.005, 0.01, 0.025, 0.05, 0.1, 0.2, 0.3, 0.5, 1, 2, 4, 8, 16, 32 };

// The metric family of a series is its name without labels.
std::string_view familyOf(std::string_view name)
{
    return name.substr(0, name.find('{'));
}

template <typename Map>
void renderFamilies(std::string& text, const Map& map, std::string_view type)
{
    std::string_view lastFamily;
    for (const auto& [name, value] : map) {
        const auto family = familyOf(name);
        if (family != lastFamily)
            fmt::format_to(std::back_inserter(text), "# TYPE {} {}\n", family, type);
        lastFamily = family;
        fmt::format_to(std::back_inserter(text), "{} {}\n", name, value);
    }
}

} // namespace

class Metrics::Histogram {
public:
    void add(double seconds)
    {
        accumulator_(seconds);
        const auto bucket = std::lower_bound(bucketBounds.begin(), bucketBounds.end(), seconds);
        if (bucket != bucketBounds.end())
            ++buckets_.at(static_cast<std::size_t>(bucket - bucketBounds.begin()));
    }

    void render(std::string& text, std::string_view name) const
    {
        fmt::format_to(std::back_inserter(text), "# TYPE {} histogram\n", name);
        std::uint64_t cumulativeCount = 0;
        for (std::size_t index = 0; index < bucketBounds.size(); ++index) {
            cumulativeCount += buckets_.at(index);
            fmt::format_to(std::back_inserter(text), "{}_bucket{{le=\"{}\"}} {}\n", name, bucketBounds.at(index), cumulativeCount);
        }
        fmt::format_to(std::back_inserter(text), "{}_bucket{{le=\"+Inf\"}} {}\n", name, Accumulators::count(accumulator_));
        fmt::format_to(std::back_inserter(text), "{}_sum {}\n", name, Accumulators::sum(accumulator_));
        fmt::format_to(std::back_inserter(text), "{}_count {}\n", name, Accumulators::count(accumulator_));
    }

private:
    using Statistics = Accumulators::stats<Accumulators::tag::count, Accumulators::tag::sum>;
    Accumulators::accumulator_set<double, Statistics> accumulator_;
    std::array<std::uint64_t, bucketBounds.size()> buckets_ {};
};

Metrics::Metrics() = default;
Metrics::~Metrics() = default;

void Metrics::increment(std::string_view name, std::uint64_t amount)
{
    const std::scoped_lock lock(mutex_);
    const auto found = counters_.find(name);
    if (found != counters_.end()) {
        found->second += amount;
        return;
    }
    counters_.emplace(name, amount);
}

void Metrics::set(std::string_view name, double value)
{
    const std::scoped_lock lock(mutex_);
    gauges_.insert_or_assign(std::string(name), value);
}

void Metrics::observe(std::string_view name, Duration sample)
{
    const std::scoped_lock lock(mutex_);
    auto found = histograms_.find(name);
    if (found == histograms_.end())
        found = histograms_.emplace(name, std::make_unique<Histogram>()).first;
    found->second->add(std::chrono::duration<double>(sample).count());
}

std::string Metrics::render() const
{
    const std::scoped_lock lock(mutex_);
    std::string text;
    renderFamilies(text, counters_, "counter");
    renderFamilies(text, gauges_, "gauge");
    for (const auto& [name, histogram] : histograms_)
        histogram->render(text, name);
    return text;
}

} // namespace Ibisturn
