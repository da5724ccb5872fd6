#include <LibPlatform/PeerUpdateRequests.h>

#include <set>
#include <string>

#include <gtest/gtest.h>

namespace Ibisturn::Testing {

namespace {

using namespace std::chrono_literals;

Member member(const std::string& id, MemberState state = MemberState::Live)
{
    Member made;
    made.id = InstanceId(id);
    made.state = state;
    return made;
}

} // namespace

TEST(PeerUpdateRequests, QueriesNobodyWhileTheStoreIsAvailable)
{
    const auto one = member("i1");
    PeerUpdateRequests requests;
    EXPECT_TRUE(requests.next(TimePoint(1h), false, { &one }).empty());
    EXPECT_TRUE(requests.next(TimePoint(1h), true, {}).empty());
    EXPECT_EQ(requests.next(TimePoint(1h), true, { &one }), std::vector<InstanceId> { one.id });
}

TEST(PeerUpdateRequests, QueriesAllInTurnAndNotTooOften)
{
    std::vector<Member> members;
    std::vector<const Member*> others;
    constexpr std::size_t count = 9;
    members.reserve(count);
    others.reserve(count);
    for (std::size_t index = 0; index < count; ++index)
        others.push_back(&members.emplace_back(member("i" + std::to_string(index))));
    PeerUpdateRequests requests;
    std::set<InstanceId> queried;
    for (const Duration time : { 0ms, 500ms, 1000ms }) {
        for (const auto& id : requests.next(TimePoint(1h) + time, true, others))
            queried.insert(id);
        EXPECT_TRUE(requests.next(TimePoint(1h) + time + 100ms, true, others).empty());
    }
    EXPECT_EQ(queried.size(), others.size());
}

TEST(PeerUpdateRequests, QueriesSuspectedPeersOnlyIfThereAreNoOthers)
{
    const auto live = member("live");
    const auto suspected = member("suspected", MemberState::Suspected);
    PeerUpdateRequests requests;
    EXPECT_EQ(requests.next(TimePoint(1h), true, { &suspected, &live }), std::vector<InstanceId> { live.id });
    EXPECT_EQ(requests.next(TimePoint(2h), true, { &suspected }), std::vector<InstanceId> { suspected.id });
}

} // namespace Ibisturn::Testing
