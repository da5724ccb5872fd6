#include "StatusFleet.h"

#include <limits>
#include <numeric>

#include <gtest/gtest.h>

namespace Ibisturn::Testing {

namespace {

using namespace std::chrono_literals;

const WorkspaceId school("school");
const BackendServerId engine("engine");

LocalStatus statusOf(std::size_t index, TimePoint /*now*/)
{
    const auto number = static_cast<std::int64_t>(index) + 1;
    LocalStatus status;
    status.uptime = 1h + std::chrono::seconds(index);
    status.demands = { { school, TokensPerSecond(static_cast<double>(number)), TokenCount(10 * number) } };
    status.loads = { { engine, static_cast<std::uint32_t>(number), TokenCount(number), TokenCount(2 * number), TokenCount(3 * number) } };
    return status;
}

struct Sums {
    std::size_t instances { 0 };
    double demand { 0 };
    std::int64_t used { 0 };
    std::uint32_t requests { 0 };
    bool isAcknowledged { true };
};

Sums sumsAt(StatusFleet& fleet, std::size_t index)
{
    const auto status = fleet.at(index).status(fleet.now());
    Sums sums;
    for (const auto& region : status.regions) {
        sums.instances += region.digest.instances;
        sums.isAcknowledged = sums.isAcknowledged && region.acknowledgedAt && fleet.now() - *region.acknowledgedAt < 1s;
        for (const auto& demand : region.digest.demands) {
            sums.demand += demand.demand.count();
            sums.used += demand.used.count();
        }
    }
    for (const auto& load : status.loads)
        sums.requests += load.requests;
    return sums;
}

InstanceReport reportOf(std::uint64_t incarnation, std::uint64_t number)
{
    InstanceReport report;
    report.incarnation = Incarnation(incarnation);
    report.number = StatusNumber(number);
    report.lastDigestAgo = 0s;
    return report;
}

} // namespace

TEST(StatusExchange, EveryInstanceLearnsTheSumsOverAllOthers)
{
    for (const std::size_t count : { 1, 3, 9, 30, 120 }) {
        StatusFleet fleet(count, statusOf);
        fleet.run(4s);
        const auto total = static_cast<double>(count * (count + 1)) / 2;
        for (std::size_t index = 0; index < count; ++index) {
            const auto sums = sumsAt(fleet, index);
            EXPECT_EQ(sums.instances, count - 1) << index << " of " << count;
            EXPECT_TRUE(sums.isAcknowledged) << index << " of " << count;
            EXPECT_DOUBLE_EQ(sums.demand, total - static_cast<double>(index + 1)) << index << " of " << count;
            EXPECT_EQ(sums.used, 10 * static_cast<std::int64_t>(total) - 10 * static_cast<std::int64_t>(index + 1)) << index << " of " << count;
            std::uint32_t requests = 0;
            for (std::size_t other = index % 3; other < count; other += 3)
                requests += other == index ? 0 : static_cast<std::uint32_t>(other + 1);
            EXPECT_EQ(sums.requests, requests) << index << " of " << count;
        }
    }
}

TEST(StatusExchange, LosingBothCollectorsCostsTwoSeconds)
{
    StatusFleet fleet(60, statusOf);
    fleet.run(4s);
    const auto collectors = fleet.collectors();
    fleet.freeze(collectors[0], 1h);
    fleet.freeze(collectors[1], 1h);
    fleet.run(2s);
    for (std::size_t index = 2; index < collectors.size(); ++index) {
        const auto sums = sumsAt(fleet, collectors[index]);
        EXPECT_GE(sums.instances, 17U) << collectors[index];
        EXPECT_TRUE(sums.isAcknowledged) << collectors[index];
    }
}

TEST(StatusExchange, LosingOneCollectorCostsNothing)
{
    StatusFleet fleet(60, statusOf);
    fleet.run(4s);
    const auto collectors = fleet.collectors();
    fleet.freeze(collectors[0], 1h);
    for (int second = 0; second < 5; ++second) {
        fleet.run(1s);
        for (std::size_t index = 1; index < collectors.size(); ++index)
            EXPECT_GE(sumsAt(fleet, collectors[index]).instances, 58U) << collectors[index] << " in second " << second;
    }
}

// Each side of a link that works one way only must leave the other out.
TEST(StatusExchange, OneWayLinksAreNotUsed)
{
    StatusFleet fleet(60, statusOf);
    fleet.run(4s);
    const auto member = fleet.collectors().back();
    for (std::size_t index = 0; index < 60; ++index)
        fleet.cut(index, member, 1h);
    fleet.run(4s);
    for (std::size_t index = 0; index < 60; ++index) {
        if (index != member)
            EXPECT_EQ(sumsAt(fleet, index).instances, 58U) << index;
    }
    const auto status = fleet.at(member).status(fleet.now());
    ASSERT_EQ(status.regions.size(), 1U);
    EXPECT_EQ(status.regions.front().digest.instances, 0U);
}

TEST(StatusExchange, RegionsThatAreCutOffLeaveEachOtherOut)
{
    StatusFleet fleet(30, statusOf);
    fleet.run(4s);
    for (std::size_t one = 0; one < 30; ++one) {
        for (std::size_t other = 0; other < 30; ++other) {
            if (one % 3 == 0 && other % 3 != 0)
                fleet.cut(one, other, 4s);
        }
    }
    fleet.run(3s);
    EXPECT_EQ(sumsAt(fleet, 0).instances, 9U);
    EXPECT_EQ(sumsAt(fleet, 1).instances, 19U);
    fleet.run(4s);
    EXPECT_EQ(sumsAt(fleet, 0).instances, 29U);
    EXPECT_EQ(sumsAt(fleet, 1).instances, 29U);
}

TEST(StatusExchange, ARestartedInstanceIsCountedOnce)
{
    StatusFleet fleet(30, statusOf);
    fleet.run(4s);
    fleet.restart(4);
    fleet.run(3s);
    for (std::size_t index = 0; index < 30; ++index)
        EXPECT_DOUBLE_EQ(sumsAt(fleet, index).demand, 465.0 - static_cast<double>(index + 1)) << index;
}

TEST(StatusExchange, RefusesReportsThatAreOlderOrOfAnEndedProcess)
{
    StatusFleet fleet(9, statusOf);
    auto& exchange = fleet.at(0);
    const auto from = StatusFleet::idOf(3);
    EXPECT_TRUE(exchange.onReport(fleet.now(), from, reportOf(100, 5)));
    EXPECT_FALSE(exchange.onReport(fleet.now(), from, reportOf(100, 5)));
    EXPECT_FALSE(exchange.onReport(fleet.now(), from, reportOf(100, 4)));
    EXPECT_TRUE(exchange.onReport(fleet.now(), from, reportOf(101, 1)));
    EXPECT_FALSE(exchange.onReport(fleet.now(), from, reportOf(100, 6)));
}

TEST(StatusExchange, RefusesMessagesOfInstancesThatMayNotSendThem)
{
    StatusFleet fleet(9, statusOf);
    auto& exchange = fleet.at(0);
    EXPECT_FALSE(exchange.onReport(fleet.now(), StatusFleet::idOf(1), reportOf(100, 1)));
    EXPECT_FALSE(exchange.onReport(fleet.now(), InstanceId("stranger"), reportOf(100, 1)));
    EXPECT_FALSE(exchange.onReport(fleet.now(), StatusFleet::idOf(0), reportOf(100, 1)));
    RegionExchange other;
    other.incarnation = Incarnation(100);
    other.number = StatusNumber(1);
    other.digest.region = StatusFleet::regionOf(2);
    EXPECT_FALSE(exchange.onExchange(fleet.now(), StatusFleet::idOf(1), other));
    EXPECT_FALSE(exchange.onExchange(fleet.now(), StatusFleet::idOf(3), other));
    EXPECT_TRUE(exchange.onExchange(fleet.now(), StatusFleet::idOf(2), other));
    FleetDigest digest;
    digest.own.region = StatusFleet::regionOf(0);
    digest.report = StatusNumber(77);
    EXPECT_FALSE(exchange.onDigest(fleet.now(), StatusFleet::idOf(3), digest));
}

TEST(StatusExchange, RefusesImpossibleNumbers)
{
    StatusFleet fleet(9, statusOf);
    auto& exchange = fleet.at(0);
    const auto isRefused = [&](const auto& spoil) {
        auto report = reportOf(100, 1);
        report.demands = { { school, TokensPerSecond(1), TokenCount(1) } };
        report.loads = { { engine, 1, TokenCount(1), TokenCount(1), TokenCount(1) } };
        spoil(report);
        return !exchange.onReport(fleet.now(), StatusFleet::idOf(3), report);
    };
    EXPECT_TRUE(isRefused([](InstanceReport& report) { report.demands.front().demand = TokensPerSecond(std::numeric_limits<double>::quiet_NaN()); }));
    EXPECT_TRUE(isRefused([](InstanceReport& report) { report.demands.front().demand = TokensPerSecond(std::numeric_limits<double>::infinity()); }));
    EXPECT_TRUE(isRefused([](InstanceReport& report) { report.demands.front().demand = TokensPerSecond(-1); }));
    EXPECT_TRUE(isRefused([](InstanceReport& report) { report.demands.front().used = TokenCount(-1); }));
    EXPECT_TRUE(isRefused([](InstanceReport& report) { report.loads.front().backlog = TokenCount(std::numeric_limits<std::int64_t>::max()); }));
    EXPECT_TRUE(isRefused([](InstanceReport& report) { report.uptime = -1s; }));
    EXPECT_TRUE(isRefused([](InstanceReport& report) { report.lastDigestAgo = Duration::min(); }));
    EXPECT_FALSE(isRefused([](InstanceReport& /*report*/) {}));
}

// An instance's share of an allowance grows with the number of instances that it knows to be counted.
TEST(StatusExchange, ADigestCannotClaimMoreInstancesThanTheRegionHas)
{
    StatusFleet fleet(9, statusOf);
    fleet.run(2s);
    auto& exchange = fleet.at(0);
    RegionExchange other;
    other.incarnation = Incarnation(100);
    other.number = StatusNumber(1);
    other.lastReceivedAgo = 0s;
    other.digest.region = StatusFleet::regionOf(1);
    other.digest.instances = 1000;
    ASSERT_TRUE(exchange.onExchange(fleet.now(), StatusFleet::idOf(1), other));
    fleet.run(StatusFleet::step);
    EXPECT_LE(sumsAt(fleet, 0).instances, 8U);
}

TEST(StatusExchange, ThePeriodGrowsWithTheRegionAndStaysWithinTheReportTimeout)
{
    StatusFleet small(9, statusOf);
    StatusFleet large(300, statusOf);
    EXPECT_LT(small.at(0).period(), large.at(0).period());
    // An instance reports once per period, and its collector confirms receipt up to one period later, plus a round trip.
    constexpr Duration roundTrip = 130ms;
    EXPECT_LT(2 * large.at(0).period() + roundTrip, FleetAllowanceLimits().reportTimeout);
}

TEST(CollectorChoice, PrefersStrongInstances)
{
    MembershipView membership;
    for (int index = 0; index < 20; ++index) {
        Member member;
        member.id = InstanceId(fmt::format("i{}", index));
        member.region = RegionId("r");
        member.processorShare = index < 3 ? 0.5 : 0.12;
        membership.instances.push_back(member);
    }
    const auto ranked = rankCollectors(membership, RegionId("r"));
    ASSERT_EQ(ranked.size(), 20U);
    for (std::size_t index = 0; index < 3; ++index)
        EXPECT_LT(std::stoi(ranked[index].value().substr(1)), 3);
}

} // namespace Ibisturn::Testing
