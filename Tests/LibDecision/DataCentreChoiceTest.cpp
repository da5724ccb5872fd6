#include <LibDecision/Routing/DataCentreChoice.h>
#include <LibDecision/Routing/LinkMeter.h>

#include <array>

#include <gtest/gtest.h>

namespace Ibisturn {

namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

constexpr TimePoint now { seconds(1000) };

std::array<DataCentreCandidate, 2> homeAndRemote(Duration homeWait, Duration remoteWait)
{
    return { DataCentreCandidate { DataCentreId("home"), homeWait, {}, 0, {} }, DataCentreCandidate { DataCentreId("remote"), remoteWait, milliseconds(55), 0, {} } };
}

} // namespace

TEST(DataCentreChoice, StaysHomeUnlessTheWaitSavedExceedsTheCostOfTheLink)
{
    EXPECT_EQ(chooseDataCentre(now, homeAndRemote(milliseconds(300), {}), {}, 0), 0U);
    EXPECT_EQ(chooseDataCentre(now, homeAndRemote(milliseconds(311), {}), {}, 0), 1U);
    EXPECT_EQ(chooseDataCentre(now, homeAndRemote(seconds(5), seconds(5)), {}, 0), 0U);
}

TEST(DataCentreChoice, DoesNotUseACongestedLink)
{
    auto candidates = homeAndRemote(seconds(5), {});
    candidates[1].linkUtilisation = 0.71;
    EXPECT_EQ(chooseDataCentre(now, candidates, {}, 0), 0U);
}

TEST(DataCentreChoice, RecoveredDataCentreGetsAGrowingShare)
{
    auto candidates = homeAndRemote({}, {});
    candidates[0].recoveredAt = now - seconds(15);
    EXPECT_EQ(chooseDataCentre(now, candidates, {}, 0.2), 0U);
    EXPECT_EQ(chooseDataCentre(now, candidates, {}, 0.3), 1U);
    EXPECT_EQ(chooseDataCentre(now + seconds(45), candidates, {}, 0.99), 0U);
}

TEST(DataCentreChoice, UsesARecoveringHomeIfThereIsNoAlternative)
{
    auto candidates = homeAndRemote({}, {});
    candidates[0].recoveredAt = now;
    candidates[1].linkUtilisation = 1;
    EXPECT_EQ(chooseDataCentre(now, candidates, {}, 0.9), 0U);
}

TEST(LinkMeter, TracksTheRateAndDecays)
{
    LinkMeter meter(1000);
    TimePoint time = now;
    for (int count = 0; count < 200; ++count) {
        time += milliseconds(100);
        meter.add(time, ByteCount(50));
    }
    EXPECT_NEAR(meter.utilisation(time), 0.5, 0.05);
    EXPECT_LT(meter.utilisation(time + seconds(20)), 0.01);
}

} // namespace Ibisturn
