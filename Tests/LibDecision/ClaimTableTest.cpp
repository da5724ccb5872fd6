#include "FakeClaimStore.h"

#include <LibDecision/Claims/ClaimTable.h>

#include <gtest/gtest.h>

namespace Ibisturn {

namespace {

using std::chrono::hours;
using std::chrono::milliseconds;
using std::chrono::seconds;

const ClaimId booking { WorkspaceId("guides"), IdempotencyKey("booking-1") };
const StoredAnswer confirmed { 201, "application/json", "confirmed" };

/// One instance's table in virtual time; the test performs its store calls.
class Owner {
public:
    explicit Owner(const char* name, std::uint64_t incarnation = 1, ClaimLimits limits = {})
        : table({ InstanceId(name), Incarnation(incarnation) }, limits)
    {
    }

    ClaimActions begin(const ClaimId& id = booking, const char* body = "body", ClaimScope scope = ClaimScope::ClaimIfUnclaimed)
    {
        return table.begin(now, { ClaimAttemptId(++attempts), id, body, scope });
    }

    /// Begins, writes and confirms.
    void run(FakeClaimStore& store, const ClaimId& id = booking)
    {
        const auto granted = write(store, begin(id));
        ASSERT_TRUE(isDispatch(granted));
        ASSERT_TRUE(table.confirmDispatch(now, id));
    }

    ClaimActions write(FakeClaimStore& store, const ClaimActions& actions)
    {
        const auto& batch = std::get<WriteClaims>(actions.front());
        return table.onBatchReply(now, batch.batch, store.transact(now, batch.writes));
    }

    ClaimActions loseReply(const ClaimActions& actions) { return table.onBatchReply(now, std::get<WriteClaims>(actions.front()).batch, BatchReplyLost {}); }

    ClaimActions tickAfter(Duration step)
    {
        now += step;
        return table.tick(now);
    }

    static bool isDispatch(const ClaimActions& actions) { return actions.size() == 1 && std::holds_alternative<DispatchAttempt>(actions.front()); }

    ClaimTable table;
    TimePoint now { seconds(1) };
    std::uint64_t attempts { 0 };
};

void expectRefusal(const ClaimActions& actions, ResultCode code, Ran ran)
{
    ASSERT_EQ(actions.size(), 1U);
    const auto* refusal = std::get_if<RefuseAttempt>(&actions.front());
    ASSERT_TRUE(refusal);
    EXPECT_EQ(refusal->code, code);
    EXPECT_EQ(refusal->ran, ran);
}

void expectAnswer(const ClaimActions& actions)
{
    ASSERT_EQ(actions.size(), 1U);
    const auto* answered = std::get_if<AnswerAttempt>(&actions.front());
    ASSERT_TRUE(answered);
    EXPECT_EQ(answered->answer, confirmed);
}

FakeClaimStore makeStore() { return { hours(24), StoreChecks::Revisions }; }

} // namespace

TEST(ClaimTable, RunsAClaimedKeyAndAnswersARetryAnywhere)
{
    auto store = makeStore();
    Owner first("khomas-1");
    Owner second("omaheke-1");
    first.run(store);
    first.write(store, first.table.finish(first.now, booking, confirmed));
    EXPECT_TRUE(first.table.isIdle());
    expectAnswer(first.begin());
    expectAnswer(second.write(store, second.begin()));
    expectRefusal(second.write(store, second.begin(booking, "other")), ResultCode::IdempotencyMismatch, Ran::No);
    expectRefusal(first.begin(booking, "other"), ResultCode::IdempotencyMismatch, Ran::No);
}

TEST(ClaimTable, SameKeyInTwoWorkspacesIsIndependent)
{
    auto store = makeStore();
    Owner owner("khomas-1");
    owner.run(store);
    owner.run(store, { WorkspaceId("drivers"), booking.key });
}

TEST(ClaimTable, UnavailableOrSlowStoreIsRefusedAsNotRunAndALateClaimIsNotDispatched)
{
    auto store = makeStore();
    Owner owner("khomas-1");
    const auto writes = owner.begin();
    expectRefusal(owner.tickAfter(seconds(4)), ResultCode::StoreUnavailable, Ran::No);
    EXPECT_TRUE(owner.write(store, writes).empty());
    // The claim was written nevertheless, so only this instance may still run the key.
    Owner other("omaheke-1");
    EXPECT_TRUE(std::holds_alternative<ForwardToOwner>(other.write(store, other.begin()).front()));
    owner.run(store);
}

TEST(ClaimTable, LostReplyIsResolvedByTheClaimsOwnNumber)
{
    auto store = makeStore();
    Owner owner("khomas-1");
    const auto writes = owner.begin();
    store.transact(owner.now, std::get<WriteClaims>(writes.front()).writes);
    EXPECT_TRUE(owner.loseReply(writes).empty());
    EXPECT_TRUE(Owner::isDispatch(owner.write(store, owner.tickAfter(milliseconds(300)))));
}

TEST(ClaimTable, RepeatedReplyDispatchesOnce)
{
    auto store = makeStore();
    Owner owner("khomas-1");
    const auto writes = owner.begin();
    EXPECT_TRUE(Owner::isDispatch(owner.write(store, writes)));
    EXPECT_TRUE(owner.table.onBatchReply(owner.now, std::get<WriteClaims>(writes.front()).batch, BatchWritten { Revision(9) }).empty());
}

// An owner killed before dispatch, during the run or before recording the outcome leaves the same record in the store.
TEST(ClaimTable, KilledOwnerLeavesAnUnknownOutcome)
{
    auto store = makeStore();
    {
        Owner owner("khomas-1");
        owner.run(store);
    }
    Owner restarted("khomas-1", 2);
    expectRefusal(restarted.write(store, restarted.begin()), ResultCode::OutcomeUnknown, Ran::Unknown);
    expectRefusal(restarted.begin(booking, "body", ClaimScope::OwnClaimsOnly), ResultCode::OutcomeUnknown, Ran::Unknown);
}

TEST(ClaimTable, OwnerFrozenPastTheRetentionDoesNotDispatch)
{
    auto store = makeStore();
    Owner frozen("khomas-1");
    Owner other("omaheke-1");
    ASSERT_TRUE(Owner::isDispatch(frozen.write(store, frozen.begin())));
    frozen.now += hours(25);
    other.now = frozen.now;
    other.run(store);
    EXPECT_FALSE(frozen.table.confirmDispatch(frozen.now, booking));
    EXPECT_TRUE(frozen.table.fail(frozen.now, booking, { ResultCode::DeadlineExceeded, Ran::No }).empty());
    EXPECT_TRUE(std::holds_alternative<ForwardToOwner>(frozen.write(store, frozen.begin()).front()));
}

TEST(ClaimTable, RunThatNeverReachedABackendServerCanBeRetried)
{
    auto store = makeStore();
    Owner owner("khomas-1");
    owner.run(store);
    owner.table.fail(owner.now, booking, { ResultCode::BackendUnreachable, Ran::No });
    owner.run(store);
    owner.table.fail(owner.now, booking, {});
    expectRefusal(owner.begin(), ResultCode::OutcomeUnknown, Ran::Unknown);
}

TEST(ClaimTable, AttemptsDuringTheRunGetItsAnswer)
{
    auto store = makeStore();
    Owner owner("khomas-1");
    owner.run(store);
    EXPECT_TRUE(owner.begin().empty());
    EXPECT_TRUE(owner.begin(booking, "body", ClaimScope::OwnClaimsOnly).empty());
    const auto actions = owner.table.finish(owner.now, booking, confirmed);
    ASSERT_EQ(actions.size(), 3U);
    expectAnswer({ actions[0] });
    expectAnswer({ actions[1] });
}

TEST(ClaimTable, CutOffInstanceRunsTheKeysThatItIssued)
{
    Owner owner("khomas-1");
    Owner other("omaheke-1");
    const ClaimId issued { booking.workspace, owner.table.issueKey(booking.workspace) };
    EXPECT_TRUE(std::holds_alternative<ForwardToOwner>(other.begin(issued).front()));
    expectRefusal(owner.begin({ WorkspaceId("drivers"), issued.key }), ResultCode::OutcomeUnknown, Ran::Unknown);
    ASSERT_TRUE(Owner::isDispatch(owner.begin(issued)));
    EXPECT_TRUE(owner.table.confirmDispatch(owner.now + hours(48), issued));
    EXPECT_TRUE(owner.table.finish(owner.now, issued, confirmed).empty());
    expectAnswer(owner.begin(issued));
    auto store = makeStore();
    owner.run(store);
    Owner restarted("khomas-1", 2);
    expectRefusal(restarted.begin(issued), ResultCode::OutcomeUnknown, Ran::Unknown);
}

TEST(ClaimTable, ClaimsBeyondTheBoundAreRefusedEarlyAndMemoryIsBounded)
{
    ClaimLimits limits;
    limits.maxPending = 3;
    limits.maxClaims = 4;
    auto store = makeStore();
    Owner owner("khomas-1", 1, limits);
    for (const auto* key : { "1", "2", "3" })
        owner.begin({ booking.workspace, IdempotencyKey(key) });
    expectRefusal(owner.begin(), ResultCode::Overloaded, Ran::No);
    for (int second = 0; second < 20; ++second)
        owner.tickAfter(seconds(1));
    Owner busy("khomas-1", 1, limits);
    for (int key = 0; key < 10; ++key) {
        const ClaimId id { booking.workspace, IdempotencyKey(std::to_string(key)) };
        busy.now += seconds(1);
        busy.run(store, id);
        busy.write(store, busy.table.finish(busy.now, id, confirmed));
        EXPECT_LE(busy.table.size(), limits.maxClaims);
    }
    // The store still has what the instance evicted.
    const ClaimId first { booking.workspace, IdempotencyKey("0") };
    expectAnswer(busy.write(store, busy.begin(first)));
}

TEST(ClaimTable, MalformedRecordsAndIssuedKeysAreRejected)
{
    EXPECT_FALSE(decodeClaimRecord("not a record"));
    EXPECT_FALSE(parseIssuedKey(IdempotencyKey("ibisturn:khomas-1:x:1")));
    const auto issued = parseIssuedKey(formatIssuedKey({ { InstanceId("a:b"), Incarnation(7) }, 9 }));
    ASSERT_TRUE(issued);
    EXPECT_EQ(issued->issuer.instance, InstanceId("a:b"));
    EXPECT_EQ(issued->serial, 9U);
}

} // namespace Ibisturn
