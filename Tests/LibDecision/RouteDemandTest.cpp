#include <LibDecision/Routing/RouteDemand.h>

#include <fmt/format.h>
#include <gtest/gtest.h>

namespace Ibisturn::Testing {

namespace {

using namespace std::chrono_literals;

const RouteId busy("busy");
const RouteId rare("rare");

TimePoint at(Duration time)
{
    return TimePoint(1h) + time;
}

} // namespace

TEST(RouteDemand, CountsTheRequestsOfEachRoute)
{
    RouteDemand demand;
    EXPECT_EQ(demand.requests(at(0s), busy), 0U);
    for (Duration time {}; time < 10s; time += 100ms)
        demand.record(at(time), busy);
    demand.record(at(10s), rare);
    EXPECT_EQ(demand.requests(at(10s), busy), 100U);
    EXPECT_EQ(demand.requests(at(10s), rare), 1U);
    EXPECT_EQ(demand.requests(at(10s), RouteId("other")), 0U);
}

// A request waits for the configuration before it is counted, so a later one may have been counted before it.
TEST(RouteDemand, CountsARequestThatArrivedBeforeTheLastOne)
{
    RouteDemand demand;
    demand.record(at(1s), busy);
    demand.record(at(700ms), busy);
    EXPECT_EQ(demand.requests(at(1s), busy), 2U);
}

// Guards against a route that was busy once and outweighs all others for good.
TEST(RouteDemand, ForgetsRequestsAfterOneToTwoWindows)
{
    RouteDemand demand;
    demand.record(at(0s), busy);
    demand.record(at(RouteDemand::window), rare);
    const auto last = at(RouteDemand::window * 2);
    EXPECT_EQ(demand.requests(last - 1ms, busy), 1U);
    EXPECT_EQ(demand.requests(last, busy), 0U);
    demand.record(last, rare);
    EXPECT_EQ(demand.requests(last, busy), 0U);
    EXPECT_EQ(demand.requests(last, rare), 2U);
    // Also if no request comes that would begin the next window.
    EXPECT_EQ(demand.requests(last + RouteDemand::window, rare), 1U);
    EXPECT_EQ(demand.requests(last + RouteDemand::window * 2, rare), 0U);
    EXPECT_EQ(demand.requests(last + RouteDemand::window * 100, rare), 0U);
}

// Guards against memory that grows with each route that was ever asked for, for example while an operator replaces routes by others.
TEST(RouteDemand, HoldsOnlyRoutesThatWereAskedForRecently)
{
    RouteDemand demand;
    for (int index = 0; index < 100'000; ++index)
        demand.record(at(index * 100ms), RouteId(fmt::format("r{}", index)));
    EXPECT_LE(demand.size(), 2U * static_cast<std::size_t>(RouteDemand::window / 100ms));
    demand.record(at(24h), busy);
    EXPECT_EQ(demand.size(), 1U);
}

} // namespace Ibisturn::Testing
