#include <LibCore/Metrics.h>

#include <array>

#include <boost/accumulators/accumulators.hpp>
#include <boost/accumulators/statistics/count.hpp>
#include <boost/accumulators/statistics/extended_p_square_quantile.hpp>
#include <boost/accumulators/statistics/stats.hpp>
#include <boost/accumulators/statistics/sum.hpp>
#include <fmt/format.h>

namespace Ibisturn {

namespace Accumulators = boost::accumulators;

namespace {

constexpr std::array<double, 3> quantiles { 0.5, 0.95, 0.99 };

// The family of a series is its name without labels.
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

class Metrics::Summary {
public:
    void add(double seconds) { accumulator_(seconds); }

    void render(std::string& text, std::string_view name) const
    {
        fmt::format_to(std::back_inserter(text), "# TYPE {} summary\n", name);
        for (const auto probability : quantiles) {
            const auto value = Accumulators::quantile(accumulator_, Accumulators::quantile_probability = probability);
            fmt::format_to(std::back_inserter(text), "{}{{quantile=\"{}\"}} {}\n", name, probability, value);
        }
        fmt::format_to(std::back_inserter(text), "{}_sum {}\n", name, Accumulators::sum(accumulator_));
        fmt::format_to(std::back_inserter(text), "{}_count {}\n", name, Accumulators::count(accumulator_));
    }

private:
    using Statistics = Accumulators::stats<Accumulators::tag::count, Accumulators::tag::sum, Accumulators::tag::extended_p_square_quantile>;
    Accumulators::accumulator_set<double, Statistics> accumulator_ { Accumulators::extended_p_square_probabilities = quantiles };
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
    auto found = summaries_.find(name);
    if (found == summaries_.end())
        found = summaries_.emplace(name, std::make_unique<Summary>()).first;
    found->second->add(std::chrono::duration<double>(sample).count());
}

std::string Metrics::render() const
{
    const std::scoped_lock lock(mutex_);
    std::string text;
    renderFamilies(text, counters_, "counter");
    renderFamilies(text, gauges_, "gauge");
    for (const auto& [name, summary] : summaries_)
        summary->render(text, name);
    return text;
}

} // namespace Ibisturn
