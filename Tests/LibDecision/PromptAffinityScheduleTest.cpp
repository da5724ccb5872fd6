#include <LibKernel/Asio.h>

#include "../Model/ServingSimulation.h"
#include "../Support/Cases.h"

#include <iostream>
#include <string>

#include <fmt/format.h>
#include <gtest/gtest.h>

namespace Ibisturn::Testing {

namespace {

using namespace std::chrono_literals;
using Model::PlacementPolicy;
using Model::RequestKind;
using Model::ServingOptions;
using Model::ServingOutcome;
using Model::ServingSimulation;

/// Considers all servers of the region for each request.
constexpr std::size_t allServers = 10'000;

// 46 engines and ten instances, and the long and short answers of organisation R (docs/SCARCE-CAPACITY.md).
ServingOptions enrolmentLoad()
{
    ServingOptions options;
    options.regions = 1;
    options.instancesPerRegion = 10;
    options.serversPerRegion = 46;
    options.length = 20s;
    options.engine.slots = 24;
    options.engine.memory = TokenCount(444'000);
    options.engine.promptTokensPerMillisecond = 140;
    options.engine.tokenTime = 2200us;
    options.speeds = { 1, 0.6, 1.6 };
    RequestKind longAnswers { "long" };
    longAnswers.requestsPerSecond = 181;
    longAnswers.priority = 1;
    longAnswers.sharedTokens = 512;
    longAnswers.sharedParts = 4;
    longAnswers.sessionTokens = 4870;
    longAnswers.sessions = 1136;
    longAnswers.hasOwnPart = true;
    longAnswers.meanPromptTokens = 6610;
    longAnswers.meanAnswerTokens = 378;
    longAnswers.maxAnswerTokens = 1120;
    longAnswers.target = 1s;
    longAnswers.timeout = 10s;
    RequestKind shortAnswers { "short" };
    shortAnswers.requestsPerSecond = 400;
    shortAnswers.sharedTokens = 568;
    shortAnswers.sharedParts = 4;
    shortAnswers.sessionTokens = 1800;
    shortAnswers.sessions = 1'000'000;
    shortAnswers.meanPromptTokens = 1;
    shortAnswers.meanAnswerTokens = 28;
    shortAnswers.maxAnswerTokens = 280;
    shortAnswers.target = 800ms;
    shortAnswers.timeout = 3s;
    options.kinds = { longAnswers, shortAnswers };
    return options;
}

ServingOutcome play(ServingOptions options, const std::string& name)
{
    auto outcome = ServingSimulation(options, 20261206).run();
    std::string kinds;
    for (std::size_t index = 0; index < outcome.kinds.size(); ++index) {
        const auto& kind = outcome.kinds[index];
        kinds += fmt::format(" {}: {} sent, {} on time, {} late, {} refused, {} failed;", options.kinds[index].name, kind.sent, kind.onTime, kind.late, kind.refused, kind.failed);
    }
    std::cout << fmt::format("{:>16}: {:.2f} million prompt tokens read, {:.2f} million of them shared; busiest server {:.2f} times the mean;{}\n", name,
        static_cast<double>(outcome.prefilledTokens) / 1e6, static_cast<double>(outcome.sharedPrefilledTokens) / 1e6, outcome.busiestOverMean, kinds);
    EXPECT_EQ(outcome.violation, "");
    return outcome;
}

std::uint32_t onTime(const ServingOutcome& outcome)
{
    std::uint32_t sum = 0;
    for (const auto& kind : outcome.kinds)
        sum += kind.onTime;
    return sum;
}

} // namespace

// Guards against reading sessions' parts again on every server, and against instances that choose the same server together.
TEST(PromptAffinitySchedule, SessionsAreReadAgainLessThanWithOtherChoices)
{
    auto options = enrolmentLoad();
    const auto chosen = play(options, "few servers");
    options.limits.serversAllConsidered = allServers;
    const auto all = play(options, "all servers");
    options.policy = PlacementPolicy::LeastLoad;
    const auto least = play(options, "least load");
    options.policy = PlacementPolicy::TwoChoices;
    const auto two = play(options, "two choices");
    EXPECT_LT(chosen.sharedPrefilledTokens, least.sharedPrefilledTokens * 8 / 10);
    EXPECT_LT(chosen.sharedPrefilledTokens, two.sharedPrefilledTokens * 8 / 10);
    EXPECT_LT(chosen.busiestOverMean, least.busiestOverMean);
    EXPECT_GE(onTime(chosen), onTime(all));
    EXPECT_GE(onTime(chosen), onTime(least));
    EXPECT_GE(onTime(chosen), onTime(two));
}

// Guards against regions in which most sessions have no server that the instances agree on.
TEST(PromptAffinitySchedule, SessionsAreReadSeldomInEachOfThreeRegions)
{
    auto options = enrolmentLoad();
    options.regions = 3;
    options.instancesPerRegion = 5;
    options.serversPerRegion = 16;
    options.kinds[0].requestsPerSecond = 60;
    options.kinds[0].sessions = 400;
    options.kinds[1].requestsPerSecond = 130;
    const auto chosen = play(options, "few servers");
    options.policy = PlacementPolicy::TwoChoices;
    const auto two = play(options, "two choices");
    EXPECT_LT(chosen.sharedPrefilledTokens, two.sharedPrefilledTokens * 8 / 10);
    EXPECT_GE(onTime(chosen), onTime(two));
}

// At nine tenths of what the engines can read, prompts that are not read again decide whether long requests are on time.
TEST(PromptAffinitySchedule, MoreRequestsAreOnTimeNearTheCapacity)
{
    auto options = enrolmentLoad();
    for (auto& kind : options.kinds)
        kind.requestsPerSecond *= 2.5;
    const auto chosen = play(options, "few servers");
    options.limits.serversAllConsidered = allServers;
    const auto all = play(options, "all servers");
    options.policy = PlacementPolicy::LeastLoad;
    const auto least = play(options, "least load");
    options.policy = PlacementPolicy::TwoChoices;
    const auto two = play(options, "two choices");
    EXPECT_LT(chosen.sharedPrefilledTokens, all.sharedPrefilledTokens * 9 / 10);
    EXPECT_GT(onTime(chosen), onTime(all));
    EXPECT_GT(onTime(chosen), onTime(least));
    EXPECT_GT(onTime(chosen), onTime(two));
}

TEST(PromptAffinitySchedule, CallersGetTheSameWhereTheLoadFits)
{
    auto options = enrolmentLoad();
    for (auto& kind : options.kinds)
        kind.requestsPerSecond /= 4;
    const auto chosen = play(options, "few servers");
    options.limits.serversAllConsidered = allServers;
    const auto all = play(options, "all servers");
    EXPECT_EQ(onTime(chosen), onTime(all));
    EXPECT_EQ(chosen.kinds[0].onTime, chosen.kinds[0].sent);
    EXPECT_EQ(chosen.kinds[1].onTime, chosen.kinds[1].sent);
}

// Servers crash, restart cold, leave, become slow and lose answers while sessions are held by few of them.
TEST(PromptAffinitySchedule, GuaranteesHoldWhenTheServersOfSessionsFail)
{
    constexpr std::uint64_t schedules = 10;
    forEachCase([](Random& random) {
        auto options = enrolmentLoad();
        options.regions = 2;
        options.instancesPerRegion = 3;
        options.serversPerRegion = 6 + randomBelow(random, 6);
        options.faults = Model::ServingFaults::Servers;
        options.kinds[0].requestsPerSecond = 25;
        options.kinds[0].sessions = 150;
        options.kinds[1].requestsPerSecond = 40;
        const auto outcome = ServingSimulation(options, random()).run();
        EXPECT_EQ(outcome.violation, "");
        std::uint32_t sent = 0;
        std::uint32_t late = 0;
        for (const auto& kind : outcome.kinds) {
            sent += kind.sent;
            late += kind.late;
        }
        EXPECT_GT(onTime(outcome) + late, sent / 2);
    },
        schedules);
}

} // namespace Ibisturn::Testing
