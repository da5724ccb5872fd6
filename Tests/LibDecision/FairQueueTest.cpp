#include <LibDecision/Admission/FairQueue.h>

#include <gtest/gtest.h>

namespace Ibisturn {

namespace {

constexpr TimePoint start {};

QueuedRequest makeRequest(std::uint64_t id, const std::string& workspace, std::int64_t cost, Duration maxWait = std::chrono::seconds(60))
{
    return { RequestId(id), WorkspaceId(workspace), TokenCount(cost), start, start + maxWait };
}

} // namespace

TEST(FairQueue, IdleWorkspaceOvertakesTheBacklogOfAnother)
{
    FairQueue queue({});
    for (std::uint64_t id = 0; id < 50; ++id)
        queue.enqueue(makeRequest(id, "large", 100));
    ASSERT_EQ(queue.dequeue()->id, RequestId(0));
    queue.enqueue(makeRequest(100, "small", 100));
    EXPECT_EQ(queue.dequeue()->id, RequestId(100));
}

TEST(FairQueue, BackloggedWorkspacesShareTokensNotRequests)
{
    FairQueue queue({});
    for (std::uint64_t id = 0; id < 200; ++id) {
        queue.enqueue(makeRequest(id, "long", 400));
        queue.enqueue(makeRequest(1000 + id, "short", 100));
    }
    std::map<WorkspaceId, std::int64_t> served;
    for (int count = 0; count < 100; ++count) {
        const auto request = queue.dequeue();
        served[request->workspace] += request->cost.count();
    }
    const auto difference = std::abs(served[WorkspaceId("long")] - served[WorkspaceId("short")]);
    EXPECT_LE(difference, 500);
}

TEST(FairQueue, IdleTimeEarnsNoCredit)
{
    FairQueue queue({});
    queue.enqueue(makeRequest(0, "former", 100));
    queue.dequeue();
    for (std::uint64_t id = 1; id <= 20; ++id)
        queue.enqueue(makeRequest(id, "steady", 100));
    for (int count = 0; count < 10; ++count)
        queue.dequeue();
    for (std::uint64_t id = 100; id < 110; ++id)
        queue.enqueue(makeRequest(id, "former", 100));
    int formerServed = 0;
    for (int count = 0; count < 6; ++count)
        formerServed += queue.dequeue()->workspace == WorkspaceId("former") ? 1 : 0;
    EXPECT_LE(formerServed, 4);
}

TEST(FairQueue, OneWorkspaceCannotFillTheQueue)
{
    FairQueue queue({ .requests = 10, .requestsPerWorkspace = 4 });
    for (std::uint64_t id = 0; id < 4; ++id)
        EXPECT_EQ(queue.enqueue(makeRequest(id, "large", 1)), EnqueueResult::Queued);
    EXPECT_EQ(queue.enqueue(makeRequest(4, "large", 1)), EnqueueResult::Full);
    EXPECT_EQ(queue.enqueue(makeRequest(5, "small", 1)), EnqueueResult::Queued);
}

TEST(FairQueue, ExpiredAndRemovedRequestsLeaveNothingBehind)
{
    FairQueue queue({});
    queue.enqueue(makeRequest(1, "a", 10, std::chrono::seconds(1)));
    queue.enqueue(makeRequest(2, "a", 20, std::chrono::seconds(9)));
    queue.enqueue(makeRequest(3, "b", 30, std::chrono::seconds(9)));
    const auto expired = queue.expire(start + std::chrono::seconds(2));
    ASSERT_EQ(expired.size(), 1U);
    EXPECT_EQ(expired.front().id, RequestId(1));
    EXPECT_TRUE(queue.remove(RequestId(2)));
    EXPECT_FALSE(queue.remove(RequestId(2)));
    EXPECT_EQ(queue.cost(), TokenCount(30));
    EXPECT_EQ(queue.dequeue()->id, RequestId(3));
    EXPECT_FALSE(queue.dequeue());
    EXPECT_EQ(queue.size(), 0U);
}

} // namespace Ibisturn
