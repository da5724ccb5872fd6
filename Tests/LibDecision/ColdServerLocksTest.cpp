#include <LibDecision/Placement/ColdServerLocks.h>

#include <fmt/format.h>
#include <gtest/gtest.h>

namespace Ibisturn::Testing {

namespace {

using namespace std::chrono_literals;

TimePoint at(Duration time)
{
    return TimePoint(1h) + time;
}

const BackendServerId server("s");
const LockTermId firstTerm(1);
const LockTermId secondTerm(2);

ColdServerLocks locksWithTerm()
{
    ColdServerLocks locks;
    locks.setInstances(InstanceId("i1"), { InstanceId("i1") });
    locks.setTerm(LockTerm { firstTerm, at(4s) });
    return locks;
}

} // namespace

TEST(ColdServerLocks, OneInstanceOfTheRegionLocksAServer)
{
    const std::vector<InstanceId> all { InstanceId("i1"), InstanceId("i2"), InstanceId("i3") };
    std::size_t attempts = 0;
    for (const auto& self : all) {
        ColdServerLocks locks;
        locks.setInstances(self, all);
        locks.setTerm(LockTerm { firstTerm, at(4s) });
        attempts += locks.advance(at(0s), { server }).size();
    }
    EXPECT_EQ(attempts, 1U);
}

TEST(ColdServerLocks, LockIsHeldUntilTheTermEnds)
{
    auto locks = locksWithTerm();
    EXPECT_EQ(locks.advance(at(0s), { server }), std::vector { server });
    EXPECT_TRUE(locks.advance(at(0s), { server }).empty());
    EXPECT_TRUE(locks.held().empty());
    locks.onAttempt(at(100ms), server, firstTerm, { LockOutcome::Held, Revision(7) });
    EXPECT_EQ(locks.held().at(server), at(4s));
    locks.setTerm(LockTerm { firstTerm, at(6s) });
    EXPECT_EQ(locks.held().at(server), at(6s));
}

TEST(ColdServerLocks, AnotherTermDropsLocks)
{
    auto locks = locksWithTerm();
    locks.advance(at(0s), { server });
    locks.setTerm(LockTerm { secondTerm, at(8s) });
    locks.onAttempt(at(100ms), server, firstTerm, { LockOutcome::Held, Revision(7) });
    EXPECT_TRUE(locks.held().empty());
    EXPECT_EQ(locks.advance(at(100ms), { server }), std::vector { server });
    locks.onAttempt(at(200ms), server, secondTerm, { LockOutcome::Held, Revision(8) });
    EXPECT_EQ(locks.held().size(), 1U);
    locks.setTerm(std::nullopt);
    EXPECT_TRUE(locks.held().empty());
    EXPECT_TRUE(locks.advance(at(300ms), { server }).empty());
}

TEST(ColdServerLocks, FailedAttemptsAreRepeatedWithPauses)
{
    auto locks = locksWithTerm();
    locks.advance(at(0s), { server });
    locks.onAttempt(at(100ms), server, firstTerm, {});
    EXPECT_TRUE(locks.advance(at(200ms), { server }).empty());
    EXPECT_EQ(locks.advance(at(400ms), { server }).size(), 1U);
    locks.onAttempt(at(500ms), server, firstTerm, { LockOutcome::HeldByOther, {} });
    EXPECT_TRUE(locks.advance(at(2400ms), { server }).empty());
    EXPECT_EQ(locks.advance(at(2500ms), { server }).size(), 1U);
}

TEST(ColdServerLocks, LocksOnServersThatAreWarmAreGivenUpTogether)
{
    auto locks = locksWithTerm();
    locks.setTerm(LockTerm { firstTerm, at(60s) });
    std::vector<BackendServerId> cold;
    for (int index = 0; index < 16; ++index) {
        EXPECT_TRUE(locks.takeStale(at(20s)).empty());
        cold.emplace_back(fmt::format("s{}", index));
        locks.advance(at(0s), cold);
        locks.onAttempt(at(0s), cold.back(), firstTerm, { LockOutcome::Held, Revision(index + 1) });
    }
    EXPECT_TRUE(locks.takeStale(at(5s)).empty());
    EXPECT_EQ(locks.takeStale(at(20s)).size(), 16U);
    EXPECT_TRUE(locks.held().empty());
}

} // namespace Ibisturn::Testing
