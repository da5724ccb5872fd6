#include "Benchmark.h"

#include "../Tests/Model/ServingSimulation.h"

#include <cstdio>
#include <fstream>

#include <fmt/format.h>
#include <fmt/ostream.h>

namespace Ibisturn::Benchmarks {

namespace {

using namespace std::chrono_literals;
using Model::KindOutcome;
using Model::PlacementPolicy;
using Model::RequestKind;
using Model::ServingOptions;
using Model::ServingSimulation;

struct Policy {
    const char* name;
    PlacementPolicy policy;
};

constexpr Policy policies[] = { { "table", PlacementPolicy::Table }, { "least-load", PlacementPolicy::LeastLoad }, { "random", PlacementPolicy::Random } };

/// Output file with the time windows of each policy, for Meta/plot-load.sh.
constexpr auto dataFile = "load.tsv";

/// Short urgent replies, and long narratives in sessions that share most of their prompts. The peak load moves from
/// region to region.
ServingOptions peakLoadOptions()
{
    ServingOptions options;
    RequestKind replies { "replies" };
    replies.requestsPerSecond = 60;
    RequestKind narratives { "narratives" };
    narratives.requestsPerSecond = 14;
    narratives.priority = 1;
    narratives.meanPromptTokens = 1500;
    narratives.meanAnswerTokens = 380;
    narratives.target = 1000ms;
    narratives.timeout = 12s;
    narratives.sharedTokens = 500;
    narratives.sharedParts = 3;
    narratives.sessionTokens = 4900;
    narratives.sessions = 180;
    options.kinds = { replies, narratives };
    options.peakFactor = 3;
    options.length = 40s;
    return options;
}

double share(std::uint32_t part, std::uint32_t total)
{
    return total == 0 ? 0 : static_cast<double>(part) / total;
}

void printOutcome(const char* policy, const std::string& group, const KindOutcome& outcome)
{
    fmt::print("load policy={} of={} asked={} on_time={:.4f} late={:.4f} refused={:.4f} failed={:.4f}\n", policy, group, outcome.sent,
        share(outcome.onTime, outcome.sent), share(outcome.late, outcome.sent), share(outcome.refused, outcome.sent), share(outcome.failed, outcome.sent));
}

void runLoad(std::uint64_t seed)
{
    auto options = peakLoadOptions();
    std::ofstream data(dataFile);
    data << "policy\tsecond\tasked\ton_time\tlate\trefused\tfailed\n";
    double leastLoadOnTime = 0;
    double tableOnTime = 0;
    for (const auto& [name, policy] : policies) {
        options.policy = policy;
        const auto outcome = ServingSimulation(options, seed).run();
        KindOutcome all;
        for (std::size_t kind = 0; kind < options.kinds.size(); ++kind) {
            printOutcome(name, options.kinds[kind].name, outcome.kinds[kind]);
            all.sent += outcome.kinds[kind].sent;
            all.onTime += outcome.kinds[kind].onTime;
        }
        for (std::size_t region = 0; region < options.regions; ++region)
            printOutcome(name, fmt::format("region-{}", region), outcome.regions[region]);
        fmt::print("load policy={} tokens_read={} shared_read_again={} sent_abroad={} attempts={}\n", name, outcome.prefilledTokens, outcome.sharedPrefilledTokens, outcome.sentToOtherRegions, outcome.attempts);
        for (std::size_t index = 0; index < outcome.windows.size(); ++index) {
            const auto& window = outcome.windows[index];
            fmt::print(data, "{}\t{}\t{}\t{}\t{}\t{}\t{}\n", name, 2 * index, window.sent, window.onTime, window.late, window.refused, window.failed);
        }
        (policy == PlacementPolicy::Table ? tableOnTime : leastLoadOnTime) = share(all.onTime, all.sent);
        if (policy == PlacementPolicy::LeastLoad)
            print({ "load", "on_time_share", tableOnTime, leastLoadOnTime, seed });
    }
    fmt::print("load data={}\n", dataFile);
}

const BenchmarkRegistration registration("load", runLoad);

} // namespace

} // namespace Ibisturn::Benchmarks
