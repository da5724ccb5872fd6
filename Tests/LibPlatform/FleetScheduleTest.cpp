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
/// At least one of these schedules must reveal an injected fault.
constexpr std::uint64_t mutatedSchedules = 200;

bool isDetected(FleetMutation mutation)
{
    const auto isDetectedAt = [mutation](std::uint64_t seed) {
        FleetSimulation simulation(seed, mutation);
        simulation.run();
        return !simulation.violation().empty();
    };
    return anyCaseSatisfies(isDetectedAt, mutatedSchedules);
}

/// Suppresses the log, since each schedule would write thousands of lines.
class FleetSchedule : public testing::Test {
protected:
    void SetUp() override { setLogLevel(LogLevel::Error); }
    void TearDown() override { setLogLevel(LogLevel::Info); }
};

} // namespace

TEST_F(FleetSchedule, StateStaysWithinBoundsUnderEveryFault)
{
    forEachCase([](Random& random) {
        FleetSimulation simulation(random(), FleetMutation::None);
        simulation.run();
        EXPECT_EQ(simulation.violation(), "");
    },
        schedules);
}

TEST_F(FleetSchedule, DetectsOnePositionForAllWatches)
{
    EXPECT_TRUE(isDetected(FleetMutation::SharedWatchPosition));
}

TEST_F(FleetSchedule, DetectsExpiredLeasesTakenForRemovals)
{
    EXPECT_TRUE(isDetected(FleetMutation::IgnoreUnavailableStore));
}

TEST_F(FleetSchedule, DetectsRevisionsOrderedWithoutTheErasOfTheStore)
{
    EXPECT_TRUE(isDetected(FleetMutation::IgnoreEras));
}

TEST_F(FleetSchedule, DetectsThatPeersAreNotQueried)
{
    EXPECT_TRUE(isDetected(FleetMutation::NeverQueryPeers));
}

} // namespace Ibisturn::Testing
