#include <LibKernel/Asio.h>

#include "../Model/FleetSimulation.h"
#include "../Support/Cases.h"

#include <LibCore/Log.h>

#include <gtest/gtest.h>

namespace Ibisturn::Testing {

namespace {

using Model::FleetMutation;
using Model::FleetSimulation;

constexpr std::uint64_t schedules = 400;
/// A fault of the instances shows in some schedule of these.
constexpr std::uint64_t mutatedSchedules = 200;

bool isNoticed(FleetMutation mutation)
{
    const auto isNoticedAt = [mutation](std::uint64_t seed) {
        FleetSimulation world(seed, mutation);
        world.run();
        return !world.violation().empty();
    };
    return anyCaseSatisfies(isNoticedAt, mutatedSchedules);
}

/// Without the log, of which each schedule would write thousands of lines.
class FleetSchedule : public testing::Test {
protected:
    void SetUp() override { setLogLevel(LogLevel::Error); }
    void TearDown() override { setLogLevel(LogLevel::Info); }
};

} // namespace

TEST_F(FleetSchedule, WhatIsKnownHoldsItsBoundsWithEveryFault)
{
    forEachCase([](Random& random) {
        FleetSimulation world(random(), FleetMutation::None);
        world.run();
        EXPECT_EQ(world.violation(), "");
    },
        schedules);
}

TEST_F(FleetSchedule, NoticesWatchesThatAreTakenForOne)
{
    EXPECT_TRUE(isNoticed(FleetMutation::SharedWatchPosition));
}

TEST_F(FleetSchedule, NoticesLapsesThatAreTakenForEnds)
{
    EXPECT_TRUE(isNoticed(FleetMutation::IgnoreUnavailableStore));
}

TEST_F(FleetSchedule, NoticesThatPeersAreNotAsked)
{
    EXPECT_TRUE(isNoticed(FleetMutation::NeverQueryPeers));
}

} // namespace Ibisturn::Testing
