#include <Tests/LibDecision/AllowanceFleet.h>

#include <gtest/gtest.h>

namespace Ibisturn {

namespace {

constexpr BucketLimits fleetLimits { TokensPerSecond(300), TokenAmount(9000) };

AllowanceFleet makeFleet()
{
    AllowanceFleet::Options options;
    options.sites = { { 0, 1.0 / 3 }, { 0, 0 }, { 1, 1.0 / 3 }, { 1, 0 }, { 2, 1.0 / 3 }, { 2, 0 } };
    options.fleet = fleetLimits;
    return AllowanceFleet(options, 20261204);
}

} // namespace

TEST(TokenBucket, TokensThatWouldHaveOverflowedAreNotPutBack)
{
    TokenBucket bucket({ TokensPerSecond(10), TokenAmount(100) }, TimePoint());
    bucket.deposit(TokenAmount(100));
    const auto first = bucket.withdraw(TokenAmount(50));
    const auto second = bucket.withdraw(TokenAmount(50));
    bucket.advance(TimePoint(5s));
    bucket.putBack(first, TokenAmount(50));
    EXPECT_NEAR(bucket.level().count(), 100, 0.1);
    bucket.withdraw(bucket.level());
    // Without either withdrawal, the bucket would have been full, and would now be empty.
    bucket.putBack(second, TokenAmount(50));
    EXPECT_NEAR(bucket.level().count(), 0, 0.1);
}

TEST(AddressOwnership, ProofIsValidFromSendingTheProbe)
{
    AddressOwnership ownership({ 5s, 10s });
    const auto first = ownership.beginProbe(TimePoint(100s));
    ownership.completeProbe(first, TimePoint(104s));
    EXPECT_FALSE(ownership.isOwned(TimePoint(104s)));
    for (int second = 104; second < 120; ++second)
        ownership.completeProbe(ownership.beginProbe(TimePoint(std::chrono::seconds(second))), TimePoint(std::chrono::seconds(second)));
    EXPECT_TRUE(ownership.isOwned(TimePoint(123s)));
    EXPECT_FALSE(ownership.isOwned(TimePoint(124s)));
    EXPECT_EQ(ownership.epoch(), OwnershipEpoch(1));
    ownership.completeProbe(ownership.beginProbe(TimePoint(125s)), TimePoint(125s));
    EXPECT_EQ(ownership.epoch(), OwnershipEpoch(2));
    EXPECT_FALSE(ownership.isOwned(TimePoint(126s)));
}

TEST(WorkspaceAllowance, RequestLargerThanItsShareBorrows)
{
    for (const std::size_t site : { 0, 1 }) {
        auto fleet = makeFleet();
        fleet.runUntil(120s);
        fleet.request(site, ReservationId(1), fleetLimits.capacity.count() * 0.9);
        fleet.runUntil(121s);
        EXPECT_EQ(fleet.admissions().size(), 1U) << "site " << site;
    }
}

TEST(WorkspaceAllowance, RequestLargerThanTheBurstIsRefusedAtOnce)
{
    auto fleet = makeFleet();
    std::size_t refused = 0;
    fleet.observer.refused = [&refused](ReservationId) { ++refused; };
    fleet.runUntil(120s);
    fleet.request(0, ReservationId(1), fleetLimits.capacity.count() + 1);
    EXPECT_EQ(refused, 1U);
}

TEST(WorkspaceAllowance, IsolatedDataCentreKeepsItsReservedShareForHours)
{
    auto fleet = makeFleet();
    fleet.runUntil(120s);
    fleet.cut(0, 1);
    fleet.cut(0, 2);
    constexpr std::uint64_t requests = 3600;
    // 95% of the rate of the reserved share, one request every two seconds.
    for (std::uint64_t number = 0; number < requests; ++number)
        fleet.at(120s + std::chrono::seconds(2 * number), [&fleet, number] { fleet.request(0, ReservationId(number), 190); });
    fleet.runUntil(120s + 2h);
    EXPECT_EQ(fleet.admissions().size(), requests);
}

TEST(LoanTable, AnEmptyGrantCountsAsOneFailure)
{
    LoanTable loans(10s);
    const InstanceProcess lender { InstanceId("lender"), Incarnation(1) };
    LoanGrant grant;
    grant.lender = lender;
    for (std::uint32_t failures = 1; failures <= 3; ++failures) {
        grant.number = loans.beginRequest(lender.instance, TokenAmount(), TimePoint(1h));
        loans.endRequest(lender.instance);
        loans.accept(grant, TimePoint(1h));
        EXPECT_EQ(loans.consecutiveFailures(lender.instance), failures);
    }
}

} // namespace Ibisturn
