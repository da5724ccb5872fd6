#include <LibDecision/Requests/HealthTable.h>
#include <LibDecision/Requests/RequestAccess.h>
#include <LibDecision/Requests/RequestTimeout.h>
#include <LibDecision/Requests/RetryBudget.h>

#include <gtest/gtest.h>

namespace Ibisturn {

namespace {

using namespace std::chrono_literals;

constexpr TimePoint start {};
const BackendServerId engine("engine");

} // namespace

TEST(RetryBudget, PermitsAShareOfRecentRequestsBesidesItsReserve)
{
    RetryBudget budget({ 0.1, 2 });
    for (int request = 0; request < 100; ++request)
        budget.recordRequest(start);
    int permitted = 0;
    for (int retry = 0; retry < 100; ++retry)
        permitted += budget.takeRetry(start + 1s) ? 1 : 0;
    EXPECT_EQ(permitted, 12);
    // Both the requests and the retries have left the window.
    EXPECT_TRUE(budget.takeRetry(start + 30s));
    EXPECT_TRUE(budget.takeRetry(start + 30s));
    EXPECT_FALSE(budget.takeRetry(start + 30s));
}

TEST(BackendHealth, StopsRequestsAfterTheFirstFailure)
{
    BackendHealth health;
    EXPECT_TRUE(health.canUse(engine, start));
    health.recordFailure(engine, start);
    EXPECT_FALSE(health.canUse(engine, start));
    EXPECT_FALSE(health.canUse(engine, start + 999ms));
    EXPECT_TRUE(health.canUse(engine, start + 1s));
}

TEST(BackendHealth, RecoversGradually)
{
    BackendHealth health;
    health.recordFailure(engine, start);
    auto now = start + 1s;
    for (const int atOnce : { 1, 2, 4, 8, 16 }) {
        for (int request = 0; request < atOnce; ++request) {
            EXPECT_TRUE(health.canUse(engine, now));
            health.recordDispatch(engine);
        }
        EXPECT_FALSE(health.canUse(engine, now)) << atOnce;
        health.recordSuccess(engine, now);
        for (int request = 1; request < atOnce; ++request)
            health.recordInconclusive(engine);
    }
    EXPECT_TRUE(health.isEmpty());
}

TEST(BackendHealth, BacksOffLongerAfterEachFailureAndOnceForConcurrentFailures)
{
    BackendHealth health;
    for (int request = 0; request < 10; ++request)
        health.recordFailure(engine, start);
    EXPECT_TRUE(health.canUse(engine, start + 1s));
    health.recordFailure(engine, start + 1s);
    EXPECT_FALSE(health.canUse(engine, start + 2900ms));
    EXPECT_TRUE(health.canUse(engine, start + 3s));
}

TEST(BackendHealth, RemovesATargetThatNeverRecovers)
{
    BackendHealth health;
    health.recordFailure(engine, start);
    health.evictExpired(start + 5min);
    EXPECT_FALSE(health.isEmpty());
    health.evictExpired(start + 6min);
    EXPECT_TRUE(health.isEmpty());
}

TEST(BackendHealth, ExcludesATargetThatIsShuttingDown)
{
    BackendHealth health;
    health.recordDispatch(engine);
    health.recordLeaving(engine, start);
    health.recordSuccess(engine, start + 1s);
    EXPECT_FALSE(health.canUse(engine, start + 59s));
}

TEST(RequestTimeout, ReadsUnits)
{
    EXPECT_EQ(parseRequestTimeout("30s"), Duration(30s));
    EXPECT_EQ(parseRequestTimeout("250ms"), Duration(250ms));
    EXPECT_EQ(parseRequestTimeout("5m"), Duration(5min));
    for (const auto* text : { "", "0s", "30", "s", "-1s", "1.5s", "30s ", "25h", "1500m", "99999999999s" })
        EXPECT_FALSE(parseRequestTimeout(text)) << text;
}

TEST(RequestAccess, FollowsKeyAndResidency)
{
    const KeyDigest digest(std::string(64, 'a'));
    const Key key { digest, WorkspaceId("guides") };
    const Workspace workspace { WorkspaceId("guides"), ResidencyRuleId("at-home"), {}, {} };
    const ResidencyRule rule { ResidencyRuleId("at-home"), { RegionId("khomas") } };
    const Record workspaceRecord { "workspaces", "guides", Revision(1), workspace };
    const Record ruleRecord { "residency", "at-home", Revision(1), rule };
    const Record keyRecord { "keys", digest.value(), Revision(1), key };
    const Record unknownKeyRecord { "keys", digest.value(), Revision(2), UnknownRecord { 9 } };
    const RequestAccess access { WorkspaceId("guides"), digest };
    const RequestAccess others { WorkspaceId("schools"), digest };
    const Snapshot complete(Revision(1), { workspaceRecord, ruleRecord, keyRecord });
    const RegionId khomas("khomas");
    EXPECT_EQ(decideAccess(complete, khomas, access), ResultCode::Ok);
    EXPECT_EQ(decideAccess(complete, RegionId("erongo"), access), ResultCode::ResidencyRefused);
    EXPECT_EQ(decideAccess(complete, khomas, others), ResultCode::KeyUnknown);
    EXPECT_EQ(decideAccess(Snapshot(Revision(2), { workspaceRecord, ruleRecord }), khomas, access), ResultCode::KeyUnknown);
    EXPECT_EQ(decideAccess(Snapshot(Revision(2), { workspaceRecord, ruleRecord, unknownKeyRecord }), khomas, access), ResultCode::RecordSchemaUnknown);
    EXPECT_EQ(decideAccess(Snapshot(Revision(2), { workspaceRecord, keyRecord }), khomas, access), ResultCode::ResidencyRefused);
}

} // namespace Ibisturn
