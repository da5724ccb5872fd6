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

ServingOptions someLoad()
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

KindOutcome sum(const ServingOutcome& outcome)
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
    auto options = someLoad();
    options.faults = ServingFaults::Servers;
    return options;
}

bool isNoticed(ServingMutation mutation)
{
    constexpr std::uint64_t schedules = 20;
    auto options = withFaults();
    options.mutation = mutation;
    return holdsForSomeCase([&options](std::uint64_t seed) { return !ServingSimulation(options, seed).run().violation.empty(); }, schedules);
}

} // namespace

TEST(ServingSchedule, PromisesHoldWithServersThatCrashLeaveSlowDownAndLoseAnswers)
{
    constexpr std::uint64_t schedules = 40;
    forEachCase([](Random& random) {
        auto options = withFaults();
        options.peakFactor = 1 + static_cast<double>(below(random, 4));
        ServingSimulation world(options, random());
        const auto outcome = world.run();
        EXPECT_EQ(outcome.violation, "");
        const auto all = sum(outcome);
        EXPECT_EQ(all.sent, all.onTime + all.late + all.refused + all.failed);
        EXPECT_GT(all.onTime + all.late, all.sent / 2);
    },
        schedules);
}

TEST(ServingSchedule, NoticesLostAnswersThatAreTakenForNotRun)
{
    EXPECT_TRUE(isNoticed(ServingMutation::TreatLostAnswerAsNotRun));
}

TEST(ServingSchedule, NoticesColdServersThatAreFilled)
{
    EXPECT_TRUE(isNoticed(ServingMutation::HideColdStart));
}

TEST(ServingSchedule, NoticesServersThatAreUsedThoughTheyLeft)
{
    EXPECT_TRUE(isNoticed(ServingMutation::HideLeaving));
}

TEST(ServingSchedule, AQuietDayIsServedWhole)
{
    const auto all = sum(ServingSimulation(someLoad(), seedOfRun()).run());
    EXPECT_GT(all.sent, 3000U);
    EXPECT_GE(all.onTime, all.sent * 99 / 100);
}

} // namespace Ibisturn::Testing
