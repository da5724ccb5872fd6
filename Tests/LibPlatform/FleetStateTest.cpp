#include <LibKernel/Asio.h>

#include "../Model/StubDocumentReader.h"

#include <LibPlatform/FleetState.h>
#include <LibPlatform/InstanceLease.h>

#include <gtest/gtest.h>

namespace Ibisturn::Testing {

namespace {

using namespace std::chrono_literals;

TimePoint at(Duration time)
{
    return TimePoint(1h) + time;
}

class FleetStateTest : public testing::Test {
protected:
    static RecordChange written(const std::string& key, const std::string& value, std::int64_t revision) { return { key, value, Revision(revision) }; }
    static RecordChange deleted(const std::string& key, std::int64_t revision) { return { key, std::nullopt, Revision(revision) }; }

    static std::string entryOf(const std::string& id)
    {
        return formatMember({ InstanceId(id), RegionId("khomas"), DataCentreId("khomas-a"), { "10.0.0.1", 1 }, { "10.0.0.1", 2 }, MemberState::Live });
    }

    /// Applies a listing of each prefix that contains only `entries`.
    void list(FleetState& state, Duration time, std::int64_t position, const std::vector<RecordChange>& entries)
    {
        for (const auto& prefix : state.prefixes()) {
            EntryFollower::Listing listing { prefix, Revision(position), {} };
            for (const auto& entry : entries) {
                if (entry.key.starts_with(prefix))
                    listing.entries.push_back(entry);
            }
            state.onListing(at(time), listing);
        }
    }

    std::size_t usableAfter(FleetState& state, Duration time)
    {
        state.advance(at(time));
        return state.registry().usable().size();
    }

    Model::StubDocumentReader reader_;
    FleetState connected_ { reader_, "own/", {} };
    FleetState disconnected_ { reader_, "own/", {} };
};

} // namespace

TEST_F(FleetStateTest, IsCompleteOnceEverythingWasListed)
{
    EXPECT_FALSE(connected_.isComplete());
    list(connected_, 0s, 5, {});
    EXPECT_TRUE(connected_.isComplete());
    EXPECT_FALSE(connected_.snapshot());
}

TEST_F(FleetStateTest, InstanceWithoutTheStoreReceivesChangesFromPeers)
{
    const std::vector<RecordChange> start { written("op/config", "old", 3), written("servers/a", "model", 4), written("servers/b", "model", 5) };
    list(connected_, 0s, 5, start);
    list(disconnected_, 0s, 5, start);
    disconnected_.onStoreUnavailable(at(1s));
    connected_.onChanges(at(2s), { written("op/config", "new", 7), written("servers/a", "leaving", 8), deleted("servers/b", 9), written("op/evacuate/erongo-a", "", 10) });
    disconnected_.onPeerUpdate(at(3s), connected_.updateAfter(at(3s), disconnected_.positions()));
    EXPECT_TRUE(disconnected_.snapshot()->findWorkspace(WorkspaceId("new")));
    EXPECT_FALSE(disconnected_.snapshot()->findWorkspace(WorkspaceId("old")));
    EXPECT_TRUE(disconnected_.registry().isEvacuated(DataCentreId("erongo-a")));
    EXPECT_LE(usableAfter(disconnected_, 3s), 1U);
    EXPECT_EQ(disconnected_.positions(), connected_.positions());
    EXPECT_TRUE(connected_.updateAfter(at(3s), disconnected_.positions()).changes.empty());
}

TEST_F(FleetStateTest, PeerThatStartedAfterARemovalTellsOfIt)
{
    list(disconnected_, 0s, 5, { written("servers/a", "model", 4), written("servers/b", "model", 5) });
    // The peer lists the store after servers/b was removed at revision 8, and has never known it.
    list(connected_, 3s, 9, { written("servers/a", "model", 4), written("servers/c", "model", 9) });
    const auto update = connected_.updateAfter(at(4s), disconnected_.positions());
    disconnected_.onPeerUpdate(at(4s), update);
    ASSERT_EQ(usableAfter(disconnected_, 10s), 2U);
    EXPECT_EQ(disconnected_.registry().usable().front().server.id, BackendServerId("a"));
    EXPECT_EQ(disconnected_.registry().usable().back().server.id, BackendServerId("c"));
    EXPECT_EQ(disconnected_.positions(), connected_.positions());
    EXPECT_TRUE(connected_.updateAfter(at(4s), disconnected_.positions()).listedPrefixes.empty());
}

TEST_F(FleetStateTest, PeerThatDiscardedRemovalsTellsWhatExists)
{
    list(disconnected_, 0s, 1, { written("servers/a", "model", 1) });
    list(connected_, 0s, 1, { written("servers/a", "model", 1) });
    connected_.onChanges(at(1s), { deleted("servers/a", 2) });
    for (int revision = 3; revision < 1000; ++revision)
        connected_.onChanges(at(1s), { deleted(fmt::format("servers/x{}", revision), revision) });
    connected_.advance(at(1s));
    disconnected_.onPeerUpdate(at(2s), connected_.updateAfter(at(2s), disconnected_.positions()));
    EXPECT_EQ(usableAfter(disconnected_, 9s), 0U);
}

TEST_F(FleetStateTest, LateAnswerOfAPeerDoesNotReviveARemovedServer)
{
    list(disconnected_, 0s, 5, {});
    list(connected_, 0s, 5, {});
    connected_.onChanges(at(1s), { written("servers/b", "model", 6) });
    const auto late = connected_.updateAfter(at(1s), disconnected_.positions());
    // Another peer has started since the server was removed at revision 7.
    FleetState restarted { reader_, "own/", {} };
    list(restarted, 2s, 8, {});
    disconnected_.onPeerUpdate(at(3s), restarted.updateAfter(at(3s), disconnected_.positions()));
    disconnected_.onPeerUpdate(at(3s), late);
    EXPECT_EQ(usableAfter(disconnected_, 3s), 0U);
}

TEST_F(FleetStateTest, PeerWithoutAListingDoesNotAdvanceThePosition)
{
    list(disconnected_, 0s, 5, {});
    connected_.onChanges(at(1s), { written("servers/b", "model", 9) });
    disconnected_.onPeerUpdate(at(2s), connected_.updateAfter(at(2s), disconnected_.positions()));
    EXPECT_EQ(usableAfter(disconnected_, 2s), 1U);
    EXPECT_EQ(disconnected_.positionOf("servers/"), Revision(5));
}

TEST_F(FleetStateTest, EntryThatCannotBeReadDoesNotHideTheOthers)
{
    class FailingReader final : public Model::StubDocumentReader {
    public:
        std::optional<RegisteredServer> readServer(std::string_view key, std::string_view value) const override
        {
            if (value == "fails")
                throw std::length_error("too long");
            return StubDocumentReader::readServer(key, value);
        }
        ConfigurationDocument readConfiguration(std::string_view value, Revision revision) const override
        {
            if (value == "fails")
                throw std::length_error("too long");
            return StubDocumentReader::readConfiguration(value, revision);
        }
    };
    const FailingReader reader;
    FleetState state { reader, "own/", {} };
    list(state, 0s, 5, { written("op/config", "c1", 1), written("servers/a", "fails", 2), written("servers/b", "model", 3) });
    EXPECT_EQ(usableAfter(state, 0s), 1U);
    state.onChanges(at(1s), { written("op/config", "fails", 6), written("servers/c", "model", 7) });
    EXPECT_EQ(usableAfter(state, 1s), 2U);
    EXPECT_EQ(state.snapshot()->revision(), Revision(1));
    EXPECT_EQ(state.positionOf("servers/"), Revision(7));
}

TEST_F(FleetStateTest, QuarantinesComeFromTheStore)
{
    const ServicePart part { ServiceId("model"), 0x12ab };
    list(connected_, 0s, 5, { written(quarantineKeyOf("own/", part), "i1", 4) });
    auto changes = connected_.takeQuarantineChanges();
    ASSERT_EQ(changes.size(), 1U);
    EXPECT_EQ(changes.front().part, part);
    EXPECT_TRUE(changes.front().isQuarantined);
    connected_.onChanges(at(1s), { deleted(quarantineKeyOf("own/", part), 6), written("own/quarantine/broken", "i1", 7) });
    changes = connected_.takeQuarantineChanges();
    ASSERT_EQ(changes.size(), 1U);
    EXPECT_FALSE(changes.front().isQuarantined);
}

TEST_F(FleetStateTest, OlderChangesAreIgnored)
{
    list(connected_, 0s, 9, { written("op/config", "new", 9) });
    connected_.onChanges(at(1s), { written("op/config", "old", 3), deleted("op/config", 4) });
    EXPECT_TRUE(connected_.snapshot()->findWorkspace(WorkspaceId("new")));
}

TEST_F(FleetStateTest, InvalidConfigurationKeepsThePreviousOne)
{
    list(connected_, 0s, 3, { written("op/config", "good", 3) });
    connected_.onChanges(at(1s), { written("op/config", "broken", 4) });
    EXPECT_TRUE(connected_.snapshot()->findWorkspace(WorkspaceId("good")));
}

TEST_F(FleetStateTest, InvalidEntryRemovesOnlyItsOwnServer)
{
    list(connected_, 0s, 5, { written("servers/a", "model", 4), written("servers/b", "model", 5) });
    connected_.onChanges(at(1s), { written("servers/a", "broken", 6) });
    EXPECT_EQ(usableAfter(connected_, 9s), 1U);
}

TEST_F(FleetStateTest, InstancesWhoseEntriesExpiredDuringAnOutageStayForAGracePeriod)
{
    list(connected_, 0s, 5, { written("own/instances/i1", entryOf("i1"), 3), written("own/instances/i2", entryOf("i2"), 4) });
    connected_.onStoreUnavailable(at(1s));
    list(connected_, 10s, 9, {});
    connected_.onStoreAvailable(at(10s));
    connected_.advance(at(11s));
    EXPECT_EQ(connected_.members().size(), 2U);
    connected_.onChanges(at(11s), { written("own/instances/i2", entryOf("i2"), 12) });
    connected_.advance(at(13s));
    ASSERT_EQ(connected_.members().size(), 1U);
    EXPECT_EQ(connected_.members().front().id, InstanceId("i2"));
}

TEST_F(FleetStateTest, InstanceThatRemovedItsEntryIsRemovedAtOnce)
{
    list(connected_, 0s, 5, { written("own/instances/i1", entryOf("i1"), 3) });
    connected_.onChanges(at(1s), { deleted("own/instances/i1", 6) });
    connected_.advance(at(1s));
    EXPECT_TRUE(connected_.members().empty());
}

TEST_F(FleetStateTest, InstanceThatStillSendsMessagesStaysAfterItsEntryExpired)
{
    list(connected_, 0s, 5, { written("own/instances/i1", entryOf("i1"), 3) });
    connected_.onPeerMessage(at(900ms), InstanceId("i1"));
    connected_.onChanges(at(1s), { deleted("own/instances/i1", 6) });
    connected_.onPeerMessage(at(2s), InstanceId("i1"));
    connected_.onPeerMessage(at(2s), InstanceId("stranger"));
    connected_.advance(at(3900ms));
    EXPECT_EQ(connected_.members().size(), 1U);
    connected_.advance(at(4s));
    EXPECT_TRUE(connected_.members().empty());
}

TEST_F(FleetStateTest, KeepsTheLargestFleetSize)
{
    list(connected_, 0s, 5, { written("own/fleet-size", "9", 3) });
    EXPECT_EQ(connected_.fleetSize(), 9U);
    connected_.onChanges(at(1s), { written("own/fleet-size", "4", 6) });
    connected_.onChanges(at(1s), { written("own/fleet-size", "many", 7) });
    EXPECT_EQ(connected_.fleetSize(), 9U);
}

TEST(InstanceLease, EntryRoundTripsAndMalformedOnesAreRejected)
{
    const Member member { InstanceId("i1"), RegionId("r"), DataCentreId("d"), { "10.0.0.1", 1 }, { "10.0.0.1", 2 }, MemberState::Live };
    const auto read = parseMember(formatMember(member));
    ASSERT_TRUE(read);
    EXPECT_EQ(read->peers, member.peers);
    for (const auto* text : { "", "[]", "{}", R"({"id":"i1","callers":"x","peers":"10.0.0.1:2"})", R"({"id":7,"callers":"10.0.0.1:1","peers":"10.0.0.1:2"})" })
        EXPECT_FALSE(parseMember(text)) << text;
}

} // namespace Ibisturn::Testing
