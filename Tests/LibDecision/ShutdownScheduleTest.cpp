#include <LibDecision/Requests/ShutdownSchedule.h>

#include <gtest/gtest.h>

namespace Ibisturn {

namespace {

using namespace std::chrono_literals;

const TimePoint start(100s);

} // namespace

TEST(ShutdownSchedule, AcceptsThenRefusesThenAborts)
{
    const ShutdownSchedule schedule(start, 8s);
    EXPECT_FALSE(schedule.mustRefuse(start));
    EXPECT_FALSE(schedule.mustRefuse(start + 2400ms));
    EXPECT_TRUE(schedule.mustRefuse(start + 2500ms));
    EXPECT_EQ(schedule.abortAt(), start + 7100ms);
}

// Guards against requests that are accepted late in a short grace and aborted at its end.
TEST(ShutdownSchedule, ARequestHasMoreTimeToFinishThanThereIsToAccept)
{
    for (const Duration grace : { Duration(300ms), Duration(1s), Duration(2s), Duration(3s), Duration(8s), Duration(60s) }) {
        const ShutdownSchedule schedule(start, grace);
        EXPECT_GT(schedule.refuseFrom(), start) << grace.count();
        EXPECT_GE(schedule.abortAt() - schedule.refuseFrom(), grace / 2) << grace.count();
        EXPECT_LT(schedule.abortAt(), start + grace) << grace.count();
    }
}

TEST(ShutdownSchedule, ServesUntilNothingIsLeftOrTheRestIsAborted)
{
    const ShutdownSchedule schedule(start, 8s);
    EXPECT_TRUE(schedule.mustServe(start + 1s, 0));
    EXPECT_FALSE(schedule.mustServe(start + 2500ms, 0));
    EXPECT_TRUE(schedule.mustServe(start + 7s, 1));
    EXPECT_FALSE(schedule.mustServe(start + 7100ms, 1));
}

TEST(ShutdownSchedule, WithoutAGraceEverythingEndsAtOnce)
{
    const ShutdownSchedule schedule(start, 0s);
    EXPECT_TRUE(schedule.mustRefuse(start));
    EXPECT_FALSE(schedule.mustServe(start, 3));
}

} // namespace Ibisturn
