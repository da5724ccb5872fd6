#include <LibDecision/Admission/ConnectionBudget.h>

#include <limits>

#include <gtest/gtest.h>

namespace Ibisturn::Testing {

namespace {

using namespace std::chrono_literals;

TimePoint at(Duration time)
{
    return TimePoint(1h) + time;
}

/// Connections of callers and of their requests, as an instance would count them.
struct Callers {
    ConnectionBudget budget;
    ConnectionUsage usage {};
    std::uint64_t refused { 0 };

    void connect()
    {
        const auto decision = budget.decide(usage);
        if (decision == ConnectionDecision::Refuse) {
            ++refused;
            return;
        }
        if (decision == ConnectionDecision::CloseIdleAndAccept)
            closeIdle();
        ++usage.open;
        ++usage.idle;
    }

    void beginRequest()
    {
        --usage.idle;
        ++usage.busy;
        if (budget.mustCloseIdle(usage))
            closeIdle();
    }

    void closeIdle()
    {
        --usage.idle;
        --usage.open;
    }
};

} // namespace

TEST(ConnectionBudget, DescriptorsForCallersAndEverythingElseFitIntoThoseOfTheProcess)
{
    for (const std::uint64_t descriptors : { 1024UL, 3075UL, 4096UL, 10250UL }) {
        const ConnectionBudget budget(descriptors);
        EXPECT_LE(ConnectionBudget::fileDescriptors + ConnectionBudget::controlDescriptors + budget.idleServerConnections() + budget.directoryConnections() + budget.callerDescriptors(), descriptors);
        EXPECT_GE(budget.callerDescriptors(), descriptors / 8);
    }
    EXPECT_EQ(ConnectionBudget(3075).callerDescriptors(), 1563U);
}

// Guards against a share of zero, or one that wraps around, where the platform supplies senseless numbers.
TEST(ConnectionBudget, EveryNumberOfDescriptorsLeavesSomeForCallers)
{
    for (const std::uint64_t descriptors : { 0UL, 1UL, 200UL, 360UL, 500UL, std::numeric_limits<std::uint64_t>::max() }) {
        for (const std::uint64_t workers : { 1UL, 3UL, 1000UL }) {
            const ConnectionBudget budget(descriptors, workers);
            EXPECT_GE(budget.callerDescriptors(), 2U);
            EXPECT_LE(budget.callerDescriptors(), std::max<std::uint64_t>(2, descriptors));
            EXPECT_GE(budget.refusals(), 1U);
        }
    }
}

TEST(ConnectionBudget, AcceptsAsBeforeWhereTheConnectionsFit)
{
    Callers callers { ConnectionBudget(3075) };
    for (int index = 0; index < 1500; ++index) {
        EXPECT_EQ(callers.budget.decide(callers.usage), ConnectionDecision::Accept);
        callers.connect();
    }
    for (int index = 0; index < 60; ++index)
        callers.beginRequest();
    EXPECT_EQ(callers.usage.open, 1500U);
}

TEST(ConnectionBudget, IdleConnectionsMakeRoomForNewOnesAndForRequests)
{
    Callers callers { ConnectionBudget(3075) };
    for (int index = 0; index < 5000; ++index)
        callers.connect();
    EXPECT_EQ(callers.refused, 0U);
    EXPECT_EQ(callers.usage.open, callers.budget.callerDescriptors());
    while (callers.usage.idle > 0) {
        callers.beginRequest();
        EXPECT_LE(callers.usage.open + callers.usage.busy, callers.budget.callerDescriptors() + 1);
    }
    callers.connect();
    EXPECT_EQ(callers.refused, 1U);
}

TEST(ConnectionBudget, RefusedCallersReturnAtTheRateAtWhichConnectionsBecomeFree)
{
    ConnectionBudget budget(3075);
    for (auto time = 0ms; time < 2000ms; time += 50ms)
        budget.onRelease(at(time));
    std::chrono::milliseconds last {};
    for (int index = 0; index < 20; ++index) {
        const auto wait = budget.retryAfter(at(2s));
        EXPECT_GE(wait, ConnectionBudget::minWait);
        EXPECT_GE(wait, last);
        last = wait;
    }
    EXPECT_NEAR(static_cast<double>(last.count()), 1000, 600);
    for (int index = 0; index < 1000; ++index)
        EXPECT_LE(budget.retryAfter(at(2s)), ConnectionBudget::maxWait);
}

} // namespace Ibisturn::Testing
