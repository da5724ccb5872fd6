#include <LibDecision/Allowance/FleetAllowance.h>
#include <LibPlatform/StatusIntervalLimits.h>

#include <gtest/gtest.h>

namespace Ibisturn::Testing {

namespace {

using namespace std::chrono_literals;

constexpr StatusIntervalLimits limits { 200ms, 16, 450ms };

} // namespace

TEST(StatusIntervalLimits, IsMinimalForAFewPeers)
{
    EXPECT_EQ(statusInterval(limits, 0), 200ms);
    EXPECT_EQ(statusInterval(limits, 16), 200ms);
}

TEST(StatusIntervalLimits, GrowsWithTheFleetUpToTheMaximum)
{
    EXPECT_EQ(statusInterval(limits, 32), 400ms);
    EXPECT_EQ(statusInterval(limits, 10'000), 450ms);
}

TEST(StatusIntervalLimits, MaximumStaysWithinTheReportTimeout)
{
    // An instance sends once per interval, and the peer confirms receipt up to one interval later, plus a round trip.
    constexpr Duration roundTrip = 130ms;
    EXPECT_LT(2 * limits.max + roundTrip, FleetAllowanceLimits().reportTimeout);
}

} // namespace Ibisturn::Testing
