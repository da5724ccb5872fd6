#include <LibKernel/Asio.h>

#include "../Model/ServingSimulation.h"
#include "../Support/Cases.h"

#include <gtest/gtest.h>

namespace Ibisturn::Testing {

namespace {

using namespace std::chrono_literals;
using Model::KindOutcome;
using Model::RequestKind;
using Model::ServingFaults;
using Model::ServingMutation;
using Model::ServingOptions;
using Model::ServingOutcome;
using Model::ServingSimulation;

ServingOptions normalLoad()
{
    ServingOptions options;
    RequestKind replies { "replies" };
    replies.requestsPerSecond = 40;
    RequestKind bookings { "bookings" };
    bookings.requestsPerSecond = 10;
    bookings.priority = 1;
    bookings.repeatability = Repeatability::NonIdempotent;
    options.kinds = { replies, bookings };
    return options;
}

KindOutcome sumOutcomes(const ServingOutcome& outcome)
{
    KindOutcome all;
    for (const auto& kind : outcome.kinds) {
        all.sent += kind.sent;
        all.onTime += kind.onTime;
        all.late += kind.late;
        all.refused += kind.refused;
        all.failed += kind.failed;
    }
    return all;
}

ServingOptions withFaults()
{
    auto options = normalLoad();
    options.faults = ServingFaults::Servers;
    return options;
}

bool isDetected(ServingMutation mutation)
{
    constexpr std::uint64_t schedules = 20;
    auto options = withFaults();
    options.mutation = mutation;
    return anyCaseSatisfies([&options](std::uint64_t seed) { return !ServingSimulation(options, seed).run().violation.empty(); }, schedules);
}

} // namespace

TEST(ServingSchedule, GuaranteesHoldWhenServersCrashLeaveSlowDownAndLoseAnswers)
{
    constexpr std::uint64_t schedules = 40;
    forEachCase([](Random& random) {
        auto options = withFaults();
        options.peakFactor = 1 + static_cast<double>(randomBelow(random, 4));
        ServingSimulation simulation(options, random());
        const auto outcome = simulation.run();
        EXPECT_EQ(outcome.violation, "");
        const auto all = sumOutcomes(outcome);
        EXPECT_EQ(all.sent, all.onTime + all.late + all.refused + all.failed);
        EXPECT_GT(all.onTime + all.late, all.sent / 2);
    },
        schedules);
}

TEST(ServingSchedule, DetectsLostAnswersTreatedAsNotRun)
{
    EXPECT_TRUE(isDetected(ServingMutation::TreatLostAnswerAsNotRun));
}

TEST(ServingSchedule, DetectsOverloadedColdServers)
{
    EXPECT_TRUE(isDetected(ServingMutation::HideColdStart));
}

TEST(ServingSchedule, DetectsRequestsToServersThatLeft)
{
    EXPECT_TRUE(isDetected(ServingMutation::HideLeaving));
}

TEST(ServingSchedule, ServesNormalLoadWithoutFaults)
{
    const auto all = sumOutcomes(ServingSimulation(normalLoad(), seedOfRun()).run());
    EXPECT_GT(all.sent, 3000U);
    EXPECT_GE(all.onTime, all.sent * 99 / 100);
}

} // namespace Ibisturn::Testing
