#include <LibKernel/Asio.h>

#include "../Model/StubDocumentReader.h"

#include <LibPlatform/FleetKnowledge.h>
#include <LibPlatform/InstanceLease.h>

#include <gtest/gtest.h>

namespace Ibisturn::Testing {

namespace {

using namespace std::chrono_literals;

TimePoint at(Duration time)
{
    return TimePoint(1h) + time;
}

class FleetKnowledgeTest : public testing::Test {
protected:
    static RecordChange written(const std::string& key, const std::string& value, std::int64_t revision) { return { key, value, Revision(revision) }; }
    static RecordChange deleted(const std::string& key, std::int64_t revision) { return { key, std::nullopt, Revision(revision) }; }

    static std::string entryOf(const std::string& id)
    {
        return formatMember({ InstanceId(id), RegionId("khomas"), DataCentreId("khomas-a"), { "10.0.0.1", 1 }, { "10.0.0.1", 2 }, MemberState::Live });
    }

    /// Lists everything as empty but for `entries`.
    void list(FleetKnowledge& knowledge, Duration time, std::int64_t position, const std::vector<RecordChange>& entries)
    {
        for (const auto& prefix : knowledge.prefixes()) {
            EntryFollower::Listing listing { prefix, Revision(position), {} };
            for (const auto& entry : entries) {
                if (entry.key.starts_with(prefix))
                    listing.entries.push_back(entry);
            }
            knowledge.onListing(at(time), listing);
        }
    }

    std::size_t usableAfter(FleetKnowledge& knowledge, Duration time)
    {
        knowledge.advance(at(time));
        return knowledge.registry().usable().size();
    }

    Model::StubDocumentReader reader_;
    FleetKnowledge followed_ { reader_, "own/", {} };
    FleetKnowledge cutOff_ { reader_, "own/", {} };
};

} // namespace

TEST_F(FleetKnowledgeTest, IsCompleteOnceEverythingWasListed)
{
    EXPECT_FALSE(followed_.isComplete());
    list(followed_, 0s, 5, {});
    EXPECT_TRUE(followed_.isComplete());
    EXPECT_FALSE(followed_.snapshot());
}

TEST_F(FleetKnowledgeTest, AnInstanceThatTheStoreTurnsAwayLearnsFromPeers)
{
    const std::vector<RecordChange> start { written("op/config", "old", 3), written("servers/a", "model", 4), written("servers/b", "model", 5) };
    list(followed_, 0s, 5, start);
    list(cutOff_, 0s, 5, start);
    cutOff_.onStoreAway(at(1s));
    followed_.onChanges(at(2s), { written("op/config", "new", 7), written("servers/a", "leaving", 8), deleted("servers/b", 9), written("op/evacuate/erongo-a", "", 10) });
    cutOff_.onPeerChanges(at(3s), followed_.changesAfter(cutOff_.positions()), PeerView::Settled);
    EXPECT_TRUE(cutOff_.snapshot()->findWorkspace(WorkspaceId("new")));
    EXPECT_FALSE(cutOff_.snapshot()->findWorkspace(WorkspaceId("old")));
    EXPECT_TRUE(cutOff_.registry().isEvacuated(DataCentreId("erongo-a")));
    EXPECT_LE(usableAfter(cutOff_, 3s), 1U);
    EXPECT_EQ(cutOff_.positions(), followed_.positions());
    EXPECT_TRUE(followed_.changesAfter(cutOff_.positions()).empty());
}

TEST_F(FleetKnowledgeTest, OlderNewsOfAPeerChangesNothing)
{
    list(followed_, 0s, 9, { written("op/config", "new", 9) });
    followed_.onChanges(at(1s), { written("op/config", "old", 3), deleted("op/config", 4) });
    EXPECT_TRUE(followed_.snapshot()->findWorkspace(WorkspaceId("new")));
}

TEST_F(FleetKnowledgeTest, AConfigurationThatCannotBeReadLeavesTheOneBefore)
{
    list(followed_, 0s, 3, { written("op/config", "good", 3) });
    followed_.onChanges(at(1s), { written("op/config", "broken", 4) });
    EXPECT_TRUE(followed_.snapshot()->findWorkspace(WorkspaceId("good")));
}

TEST_F(FleetKnowledgeTest, AnEntryThatBecomesUnreadableNamesNoServerAndHarmsNoOther)
{
    list(followed_, 0s, 5, { written("servers/a", "model", 4), written("servers/b", "model", 5) });
    followed_.onChanges(at(1s), { written("servers/a", "broken", 6) });
    EXPECT_EQ(usableAfter(followed_, 9s), 1U);
}

TEST_F(FleetKnowledgeTest, InstancesWhoseEntriesLapsedWhileTheStoreWasAwayStayForAWhile)
{
    list(followed_, 0s, 5, { written("own/instances/i1", entryOf("i1"), 3), written("own/instances/i2", entryOf("i2"), 4) });
    followed_.onStoreAway(at(1s));
    list(followed_, 10s, 9, {});
    followed_.onStoreBack(at(10s));
    followed_.advance(at(11s));
    EXPECT_EQ(followed_.members().size(), 2U);
    followed_.onChanges(at(11s), { written("own/instances/i2", entryOf("i2"), 12) });
    followed_.advance(at(13s));
    ASSERT_EQ(followed_.members().size(), 1U);
    EXPECT_EQ(followed_.members().front().id, InstanceId("i2"));
}

TEST_F(FleetKnowledgeTest, AnInstanceThatLeftIsGoneAtOnce)
{
    list(followed_, 0s, 5, { written("own/instances/i1", entryOf("i1"), 3) });
    followed_.onChanges(at(1s), { deleted("own/instances/i1", 6) });
    followed_.advance(at(1s));
    EXPECT_TRUE(followed_.members().empty());
}

TEST_F(FleetKnowledgeTest, AnInstanceThatIsStillHeardStaysThoughItsEntryLapsed)
{
    list(followed_, 0s, 5, { written("own/instances/i1", entryOf("i1"), 3) });
    followed_.onHeard(at(900ms), InstanceId("i1"));
    followed_.onChanges(at(1s), { deleted("own/instances/i1", 6) });
    followed_.onHeard(at(2s), InstanceId("i1"));
    followed_.onHeard(at(2s), InstanceId("stranger"));
    followed_.advance(at(3900ms));
    EXPECT_EQ(followed_.members().size(), 1U);
    followed_.advance(at(4s));
    EXPECT_TRUE(followed_.members().empty());
}

TEST_F(FleetKnowledgeTest, KnowsTheLargestSizeOfTheFleet)
{
    list(followed_, 0s, 5, { written("own/fleet-size", "9", 3) });
    EXPECT_EQ(followed_.fleetSize(), 9U);
    followed_.onChanges(at(1s), { written("own/fleet-size", "4", 6) });
    followed_.onChanges(at(1s), { written("own/fleet-size", "many", 7) });
    EXPECT_EQ(followed_.fleetSize(), 9U);
}

TEST(InstanceLease, AnEntryReadsBackAndMalformedOnesNameNobody)
{
    const Member member { InstanceId("i1"), RegionId("r"), DataCentreId("d"), { "10.0.0.1", 1 }, { "10.0.0.1", 2 }, MemberState::Live };
    const auto read = parseMember(formatMember(member));
    ASSERT_TRUE(read);
    EXPECT_EQ(read->peers, member.peers);
    for (const auto* text : { "", "[]", "{}", R"({"id":"i1","callers":"x","peers":"10.0.0.1:2"})", R"({"id":7,"callers":"10.0.0.1:1","peers":"10.0.0.1:2"})" })
        EXPECT_FALSE(parseMember(text)) << text;
}

} // namespace Ibisturn::Testing
