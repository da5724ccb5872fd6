#include <LibDecision/Membership/EntryDirectory.h>
#include <LibDecision/Membership/MembershipTracker.h>

#include <gtest/gtest.h>

namespace Ibisturn::Testing {

namespace {

using namespace std::chrono_literals;

constexpr std::size_t workspaces = 1400;
const InstanceId one("i1");

MembershipView nineInstances()
{
    MembershipView view;
    for (int index = 0; index < 9; ++index)
        view.instances.push_back({ InstanceId(fmt::format("i{}", index)), RegionId(fmt::format("r{}", index % 3)), DataCentreId(fmt::format("d{}", index % 3)), {}, {}, MemberState::Live });
    return view;
}

TimePoint at(Duration time)
{
    return TimePoint(1h) + time;
}

MemberState stateOf(const MembershipTracker& tracker, Duration time)
{
    return tracker.view(at(time)).find(one)->state;
}

Snapshot workspacesIn(const std::string& regions)
{
    std::vector<Record> records { parseRecord("residency", "rule", fmt::format(R"({{"schema":1,"regions":{}}})", regions), Revision(1)) };
    for (std::size_t index = 0; index < workspaces; ++index)
        records.push_back(parseRecord("workspaces", fmt::format("w{}", index), R"({"schema":1,"residency":"rule","rate":1,"burst":1})", Revision(1)));
    return { Revision(1), records };
}

std::size_t countMoved(const MembershipView& before, const MembershipView& after)
{
    const auto snapshot = workspacesIn(R"(["r0","r1","r2"])");
    std::size_t moved = 0;
    for (std::size_t index = 0; index < workspaces; ++index) {
        const WorkspaceId workspace(fmt::format("w{}", index));
        const auto first = entriesFor(snapshot, before, workspace, RegionId("elsewhere")).front().id;
        moved += first != entriesFor(snapshot, after, workspace, RegionId("elsewhere")).front().id ? 1 : 0;
    }
    return moved;
}

} // namespace

TEST(Membership, FewCallersMoveWhenOneOfNineLeaves)
{
    for (int leavingIndex = 0; leavingIndex < 9; ++leavingIndex) {
        MembershipTracker tracker;
        tracker.onLiveList(nineInstances());
        const auto before = tracker.view(at(0s));
        tracker.onAnnouncement(InstanceId(fmt::format("i{}", leavingIndex)), Incarnation(1), MemberState::Leaving);
        // One ninth, plus a quarter of that as tolerance for uneven hashing.
        EXPECT_LE(countMoved(before, tracker.view(at(0s))), workspaces / 9 * 5 / 4);
    }
}

TEST(Membership, EntriesAreNeverOutsidePermittedRegionsNorLeaving)
{
    const auto snapshot = workspacesIn(R"(["r1"])");
    MembershipTracker tracker;
    tracker.onLiveList(nineInstances());
    tracker.onAnnouncement(one, Incarnation(1), MemberState::Leaving);
    tracker.onReachability(at(0s), InstanceId("i4"), Reachability::Unreachable);
    const auto entries = entriesFor(snapshot, tracker.view(at(0s)), WorkspaceId("w1"), RegionId("r0"));
    ASSERT_EQ(entries.size(), 2U);
    EXPECT_EQ(entries.front().id, InstanceId("i7"));
    EXPECT_EQ(entries.back().id, InstanceId("i4"));
}

TEST(Membership, LeavingIsFinalForOneIncarnationOnly)
{
    MembershipTracker tracker;
    tracker.onLiveList(nineInstances());
    tracker.onAnnouncement(one, Incarnation(1), MemberState::Leaving);
    tracker.onAnnouncement(one, Incarnation(1), MemberState::Live);
    tracker.onLiveList(nineInstances());
    EXPECT_EQ(stateOf(tracker, 0s), MemberState::Leaving);
    tracker.onAnnouncement(one, Incarnation(2), MemberState::Live);
    EXPECT_EQ(stateOf(tracker, 0s), MemberState::Live);
}

TEST(Membership, NewIncarnationIsLiveThoughTheListStillReportsItLeaving)
{
    auto list = nineInstances();
    list.instances[1].state = MemberState::Leaving;
    MembershipTracker tracker;
    tracker.onLiveList(nineInstances());
    tracker.onAnnouncement(one, Incarnation(1), MemberState::Live);
    tracker.onLiveList(list);
    tracker.onAnnouncement(one, Incarnation(1), MemberState::Live);
    EXPECT_EQ(stateOf(tracker, 0s), MemberState::Leaving);
    tracker.onAnnouncement(one, Incarnation(2), MemberState::Live);
    EXPECT_EQ(stateOf(tracker, 0s), MemberState::Live);
    tracker.onLiveList(list);
    EXPECT_EQ(stateOf(tracker, 0s), MemberState::Live);
}

TEST(Membership, InstanceFirstAnnouncedAfterTheListReportedItLeavingIsLeaving)
{
    auto list = nineInstances();
    list.instances[1].state = MemberState::Leaving;
    MembershipTracker tracker;
    tracker.onLiveList(list);
    tracker.onAnnouncement(one, Incarnation(1), MemberState::Live);
    EXPECT_EQ(stateOf(tracker, 0s), MemberState::Leaving);
}

// Guards against callers led outside of their home regions while instances there are restarted: the entries of those that have left are
// gone before the new processes have written theirs.
TEST(Membership, RegionsWhoseInstancesLeftAreRestartingForAWhile)
{
    MembershipTracker tracker;
    tracker.onLiveList(nineInstances());
    tracker.tick(at(0s));
    EXPECT_TRUE(tracker.view(at(0s)).restartingRegions.empty());
    tracker.onAnnouncement(one, Incarnation(1), MemberState::Leaving);
    tracker.tick(at(1s));
    const std::set<RegionId> restarting { RegionId("r1") };
    EXPECT_EQ(tracker.view(at(1s)).restartingRegions, restarting);
    auto list = nineInstances();
    std::erase_if(list.instances, [](const Member& member) { return member.region == RegionId("r1") || member.region == RegionId("r2"); });
    tracker.onLiveList(list);
    for (Duration time = 2s; time <= 15s; time += 1s)
        tracker.tick(at(time));
    EXPECT_EQ(tracker.view(at(15s)).restartingRegions, restarting);
    tracker.tick(at(16s));
    EXPECT_TRUE(tracker.view(at(16s)).restartingRegions.empty());
}

TEST(Membership, IsSettledOnceInstancesThatLeftBeforeWouldBeBack)
{
    MembershipTracker tracker;
    EXPECT_FALSE(tracker.view(at(0s)).isSettled);
    Duration time {};
    for (; time < 15s; time += 1s) {
        tracker.tick(at(time));
        EXPECT_FALSE(tracker.view(at(time)).isSettled);
    }
    tracker.tick(at(time));
    EXPECT_TRUE(tracker.view(at(time)).isSettled);
    // What left while the process was suspended is not known.
    tracker.tick(at(60s));
    EXPECT_FALSE(tracker.view(at(60s)).isSettled);
}

TEST(Membership, SuspicionExpiresAndGrowsWithEachFailure)
{
    MembershipTracker tracker;
    tracker.onLiveList(nineInstances());
    tracker.onReachability(at(0s), one, Reachability::Unreachable);
    tracker.onReachability(at(1s), one, Reachability::Unreachable);
    EXPECT_EQ(stateOf(tracker, 1900ms), MemberState::Suspected);
    EXPECT_EQ(stateOf(tracker, 2s), MemberState::Live);
    tracker.onReachability(at(3s), one, Reachability::Unreachable);
    EXPECT_EQ(stateOf(tracker, 6900ms), MemberState::Suspected);
    tracker.onReachability(at(7s), one, Reachability::Reachable);
    EXPECT_EQ(stateOf(tracker, 7s), MemberState::Live);
}

TEST(Membership, SuspendedInstanceClearsSuspicionsWhenItResumes)
{
    MembershipTracker tracker;
    tracker.onLiveList(nineInstances());
    tracker.tick(at(0s));
    for (const auto& member : nineInstances().instances)
        tracker.onReachability(at(60s), member.id, Reachability::Unreachable);
    tracker.tick(at(60s));
    for (const auto& member : tracker.view(at(60s)).instances)
        EXPECT_EQ(member.state, MemberState::Live);
}

} // namespace Ibisturn::Testing
