#include <LibKernel/Asio.h>

#include "../Model/ServingWorld.h"
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
using Model::ServingWorld;

ServingOptions someLoad()
{
    ServingOptions options;
    RequestKind replies { "replies" };
    replies.perSecond = 40;
    RequestKind bookings { "bookings" };
    bookings.perSecond = 10;
    bookings.priority = 1;
    bookings.repeatability = Repeatability::NonIdempotent;
    options.kinds = { replies, bookings };
    return options;
}

KindOutcome sum(const ServingOutcome& outcome)
{
    KindOutcome all;
    for (const auto& kind : outcome.kinds) {
        all.asked += kind.asked;
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
    return holdsForSomeCase([&options](std::uint64_t seed) { return !ServingWorld(options, seed).run().violation.empty(); }, schedules);
}

} // namespace

TEST(ServingSchedule, PromisesHoldWithServersThatCrashLeaveSlowDownAndLoseAnswers)
{
    constexpr std::uint64_t schedules = 40;
    forEachCase([](Random& random) {
        auto options = withFaults();
        options.peak = 1 + static_cast<double>(below(random, 4));
        ServingWorld world(options, random());
        const auto outcome = world.run();
        EXPECT_EQ(outcome.violation, "");
        const auto all = sum(outcome);
        EXPECT_EQ(all.asked, all.onTime + all.late + all.refused + all.failed);
        EXPECT_GT(all.onTime + all.late, all.asked / 2);
    },
        schedules);
}

TEST(ServingSchedule, NoticesLostAnswersThatAreTakenForNotRun)
{
    EXPECT_TRUE(isNoticed(ServingMutation::LostTakenForNotRun));
}

TEST(ServingSchedule, NoticesColdServersThatAreFilled)
{
    EXPECT_TRUE(isNoticed(ServingMutation::ColdUntold));
}

TEST(ServingSchedule, NoticesServersThatAreUsedThoughTheyLeft)
{
    EXPECT_TRUE(isNoticed(ServingMutation::LeavingUntold));
}

TEST(ServingSchedule, AQuietDayIsServedWhole)
{
    const auto all = sum(ServingWorld(someLoad(), seedOfRun()).run());
    EXPECT_GT(all.asked, 3000U);
    EXPECT_GE(all.onTime, all.asked * 99 / 100);
}

} // namespace Ibisturn::Testing
