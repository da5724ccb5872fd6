#include <LibDecision/Allowance/FleetAllowance.h>
#include <LibPlatform/NewsPace.h>

#include <gtest/gtest.h>

namespace Ibisturn::Testing {

namespace {

using namespace std::chrono_literals;

constexpr NewsPace pace { 200ms, 16, 450ms };

} // namespace

TEST(NewsPace, AFewPeersAreToldAsOftenAsPossible)
{
    EXPECT_EQ(newsPeriod(pace, 0), 200ms);
    EXPECT_EQ(newsPeriod(pace, 16), 200ms);
}

TEST(NewsPace, WhatIsSentDoesNotGrowWithTheFleetUntilThePeriodIsLongest)
{
    EXPECT_EQ(newsPeriod(pace, 32), 400ms);
    EXPECT_EQ(newsPeriod(pace, 10'000), 450ms);
}

TEST(NewsPace, NobodyIsTakenForSilentBetweenTwoNews)
{
    // An instance sends once per interval, and the peer confirms receipt up to one interval later; the messages take a round trip.
    constexpr Duration roundTrip = 130ms;
    EXPECT_LT(2 * pace.longest + roundTrip, FleetAllowanceLimits().silence);
}

} // namespace Ibisturn::Testing
