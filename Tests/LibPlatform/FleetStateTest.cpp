#include <LibKernel/Asio.h>

#include "../Model/StubDocumentReader.h"

#include <LibPlatform/FleetState.h>
#include <LibPlatform/InstanceLease.h>
#include <LibPlatform/VersionRecords.h>

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

    /// The same change after the store has come back from an older copy.
    static RecordChange inNextEra(RecordChange change)
    {
        change.revision = Revision(change.revision.number(), StoreEra(change.revision.era().count() + 1));
        return change;
    }

    /// Applies a listing of a store that has come back from an older copy, which contains only `entries`, for the first time or in a
    /// later `era`.
    void listAgain(FleetState& state, Duration time, std::int64_t position, std::vector<RecordChange> entries, StoreEra era = StoreEra(1))
    {
        for (auto& entry : entries)
            entry.revision = Revision(entry.revision.number(), era);
        list(state, time, Revision(position, era), entries);
    }

    /// Applies a listing of each prefix that contains only `entries`.
    void list(FleetState& state, Duration time, std::int64_t position, const std::vector<RecordChange>& entries) { list(state, time, Revision(position), entries); }

    void list(FleetState& state, Duration time, Revision position, const std::vector<RecordChange>& entries)
    {
        for (const auto& prefix : state.prefixes()) {
            EntryFollower::Listing listing { prefix, position, {} };
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
    EXPECT_EQ(changes.front().entry, QuarantineEntry::Written);
    connected_.onChanges(at(1s), { deleted(quarantineKeyOf("own/", part), 6), written("own/quarantine/broken", "i1", 7) });
    changes = connected_.takeQuarantineChanges();
    ASSERT_EQ(changes.size(), 1U);
    EXPECT_EQ(changes.front().entry, QuarantineEntry::Deleted);
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

TEST_F(FleetStateTest, ConfigurationOfAnOlderCopyDoesNotReplaceALaterOne)
{
    list(connected_, 0s, 90, { written("op/config", "c16", 90) });
    listAgain(connected_, 2s, 40, { written("op/config", "c14", 38) });
    EXPECT_TRUE(connected_.snapshot()->findWorkspace(WorkspaceId("c16")));
    // The operator writes the lost version again, and then a new one, whose revisions are lower than those known before.
    connected_.onChanges(at(3s), { inNextEra(written("op/config", "c16", 41)) });
    EXPECT_TRUE(connected_.snapshot()->findWorkspace(WorkspaceId("c16")));
    connected_.onChanges(at(4s), { inNextEra(written("op/config", "c17", 42)) });
    EXPECT_TRUE(connected_.snapshot()->findWorkspace(WorkspaceId("c17")));
    EXPECT_EQ(connected_.positionOf("op/"), Revision(42, StoreEra(1)));
}

TEST_F(FleetStateTest, InstanceWithoutTheStoreLearnsFromPeersThatItCameBack)
{
    list(connected_, 0s, 90, { written("op/config", "c16", 90), written("servers/a", "model#5", 80) });
    list(disconnected_, 0s, 90, { written("op/config", "c16", 90), written("servers/a", "model#5", 80), written("servers/b", "model#1", 88) });
    disconnected_.onStoreUnavailable(at(1s));
    listAgain(connected_, 2s, 40, { written("op/config", "c14", 38), written("servers/a", "model#2", 20) });
    connected_.onChanges(at(3s), { inNextEra(written("op/config", "c17", 41)), inNextEra(written("servers/a", "leaving#6", 42)) });
    EXPECT_TRUE(disconnected_.isBehindEra(StoreEra(1)));
    // A peer that is behind has nothing to tell to one that is not.
    connected_.onPeerUpdate(at(4s), disconnected_.updateAfter(at(4s), connected_.positions()));
    EXPECT_TRUE(connected_.snapshot()->findWorkspace(WorkspaceId("c17")));
    disconnected_.onPeerUpdate(at(4s), connected_.updateAfter(at(4s), disconnected_.positions()));
    EXPECT_TRUE(disconnected_.snapshot()->findWorkspace(WorkspaceId("c17")));
    EXPECT_FALSE(disconnected_.isBehindEra(StoreEra(1)));
    EXPECT_EQ(disconnected_.positions(), connected_.positions());
    ASSERT_EQ(usableAfter(disconnected_, 5s), 1U);
    EXPECT_EQ(disconnected_.registry().usable().front().server.id, BackendServerId("b"));
}

TEST_F(FleetStateTest, EvacuationsStayAsTheyWereUntilTheOperatorHasWrittenThemAgain)
{
    list(connected_, 0s, 90, { written("op/config", "c1", 10), written("op/evacuate/khomas-a", "", 80), written("op/evacuate/erongo-a", "", 20), written("op/evacuate/omaheke-a", "", 70) });
    connected_.onChanges(at(1s), { deleted("op/evacuate/erongo-a", 91) });
    // The copy lacks two evacuations and has one that was ended.
    listAgain(connected_, 2s, 40, { written("op/config", "c1", 10), written("op/evacuate/erongo-a", "", 20) });
    connected_.advance(at(3s));
    EXPECT_TRUE(connected_.registry().isEvacuated(DataCentreId("khomas-a")));
    EXPECT_TRUE(connected_.registry().isEvacuated(DataCentreId("omaheke-a")));
    EXPECT_FALSE(connected_.registry().isEvacuated(DataCentreId("erongo-a")));
    connected_.onChanges(at(3s), { inNextEra(written("op/evacuate/khomas-a", "", 41)), inNextEra(deleted("op/evacuate/erongo-a", 42)) });
    connected_.setConfirmedAt(at(30s));
    connected_.advance(at(30s));
    EXPECT_TRUE(connected_.registry().isEvacuated(DataCentreId("khomas-a")));
    EXPECT_FALSE(connected_.registry().isEvacuated(DataCentreId("omaheke-a")));
    EXPECT_FALSE(connected_.registry().isEvacuated(DataCentreId("erongo-a")));
}

TEST_F(FleetStateTest, InstancesThatAnOlderCopyLacksOrStillHasAreKeptAsTheyWere)
{
    list(connected_, 0s, 90, { written("own/instances/new", entryOf("new"), 90), written("own/instances/gone", entryOf("gone"), 20), written("own/instances/old", entryOf("old"), 30) });
    connected_.onChanges(at(1s), { deleted("own/instances/gone", 91) });
    connected_.advance(at(2s));
    listAgain(connected_, 2s, 40, { written("own/instances/gone", entryOf("gone"), 20), written("own/instances/old", entryOf("old"), 30) });
    const auto ids = [&] {
        std::vector<std::string> found;
        for (const auto& member : connected_.members())
            found.push_back(member.id.value());
        return found;
    };
    connected_.advance(at(3s));
    EXPECT_EQ(ids(), (std::vector<std::string> { "new", "old" }));
    connected_.onChanges(at(3500ms), { inNextEra(written("own/instances/new", entryOf("new"), 41)), inNextEra(deleted("own/instances/gone", 42)) });
    connected_.advance(at(30s));
    EXPECT_EQ(ids(), (std::vector<std::string> { "new", "old" }));
}

// Guards against an instance that takes a gap in its peers' changes for a return of the store, and follows the store on account of it.
TEST_F(FleetStateTest, RequestingAllEntriesAgainDoesNotLeadBackToAnEarlierEra)
{
    list(connected_, 0s, 90, {});
    listAgain(connected_, 2s, 40, {});
    StoreUpdate update;
    update.view = StoreView::Partial;
    update.positions.assign(connected_.prefixes().size(), Revision(50, StoreEra(1)));
    update.listedPrefixes = { 1 };
    update.existingKeys = { "servers/unknown" };
    connected_.onPeerUpdate(at(3s), update);
    EXPECT_EQ(connected_.positions()[1].number(), 0);
    EXPECT_FALSE(connected_.isBehindEra(StoreEra(1)));
}

// Guards against an instance whose watch of the operators' entries hangs and that takes the copy's for confirmed.
TEST_F(FleetStateTest, EvacuationsOfAnOlderCopyStayDeferredUntilTheStoreConfirmsThatNobodyWroteThem)
{
    list(connected_, 0s, 90, { written("op/config", "c1", 10), written("op/evacuate/khomas-a", "", 80) });
    connected_.setConfirmedAt(at(1s));
    listAgain(connected_, 2s, 40, { written("op/config", "c1", 10) });
    connected_.setConfirmedAt(at(4s));
    connected_.advance(at(20s));
    EXPECT_TRUE(connected_.registry().isEvacuated(DataCentreId("khomas-a")));
    connected_.setConfirmedAt(at(5s));
    connected_.advance(at(21s));
    EXPECT_FALSE(connected_.registry().isEvacuated(DataCentreId("khomas-a")));
}

// Guards against a second return that brings into force at once what had been deferred after the first one.
TEST_F(FleetStateTest, WhatAnOlderCopyHasStaysDeferredIfTheStoreComesBackOnceMore)
{
    list(connected_, 0s, 90, { written("op/config", "c1", 10), written("op/evacuate/khomas-a", "", 80), written("op/evacuate/erongo-a", "", 20), written("own/instances/gone", entryOf("gone"), 30) });
    connected_.onChanges(at(1s), { deleted("op/evacuate/erongo-a", 91), deleted("own/instances/gone", 92) });
    connected_.advance(at(2s));
    const std::vector<RecordChange> copy { written("op/config", "c1", 10), written("op/evacuate/erongo-a", "", 20), written("own/instances/gone", entryOf("gone"), 30) };
    listAgain(connected_, 2s, 40, copy);
    connected_.advance(at(3s));
    listAgain(connected_, 3s, 40, copy, StoreEra(2));
    connected_.advance(at(3s));
    EXPECT_TRUE(connected_.registry().isEvacuated(DataCentreId("khomas-a")));
    EXPECT_FALSE(connected_.registry().isEvacuated(DataCentreId("erongo-a")));
    EXPECT_TRUE(connected_.members().empty());
}

// Guards against changes long after the store's return that wait as if they were those of the copy.
TEST_F(FleetStateTest, WhatWasRemovedBeforeTheStoreCameBackTakesEffectAtOnceWhenItIsWrittenAgain)
{
    list(connected_, 0s, 90, { written("op/config", "c1", 10), written("op/evacuate/khomas-a", "", 80), written("own/instances/i1", entryOf("i1"), 70) });
    connected_.onChanges(at(1s), { deleted("op/evacuate/khomas-a", 91), deleted("own/instances/i1", 92) });
    connected_.advance(at(10s));
    listAgain(connected_, 11s, 40, { written("op/config", "c1", 10) });
    connected_.advance(at(60s));
    connected_.onChanges(at(60s), { inNextEra(written("op/evacuate/khomas-a", "", 41)), inNextEra(written("own/instances/i1", entryOf("i1"), 42)) });
    connected_.advance(at(60s));
    EXPECT_TRUE(connected_.registry().isEvacuated(DataCentreId("khomas-a")));
    EXPECT_EQ(connected_.members().size(), 1U);
}

TEST_F(FleetStateTest, FleetSizeAndQuarantinesThatAnOlderCopyLacksAreToBeWrittenAgain)
{
    const ServicePart part { ServiceId("model"), 0x12ab };
    list(connected_, 0s, 90, { written("own/fleet-size", "9", 90), written(quarantineKeyOf("own/", part), "i1", 89) });
    EXPECT_EQ(connected_.storedFleetSize(), 9U);
    connected_.takeQuarantineChanges();
    listAgain(connected_, 2s, 40, { written("own/fleet-size", "4", 20) });
    EXPECT_EQ(connected_.fleetSize(), 9U);
    EXPECT_EQ(connected_.storedFleetSize(), 4U);
    const auto changes = connected_.takeQuarantineChanges();
    ASSERT_EQ(changes.size(), 1U);
    EXPECT_EQ(changes.front().entry, QuarantineEntry::Lost);
}

TEST_F(FleetStateTest, RecordsOfSoftwareVersionsComeFromTheStore)
{
    const ServiceId model("model");
    const std::set listed { SoftwareVersion("v1"), SoftwareVersion("v2") };
    const std::set retiring { SoftwareVersion("v0") };
    const auto key = versionsKeyOf("own/", model);
    list(connected_, 0s, 5, { written(key, formatVersions(listed, retiring), 4) });
    auto changes = connected_.takeVersionRecordChanges();
    ASSERT_EQ(changes.size(), 1U);
    EXPECT_EQ(changes.front().service, model);
    EXPECT_EQ(changes.front().asOf, Revision(4));
    ASSERT_TRUE(changes.front().record);
    EXPECT_EQ(changes.front().record->listed, listed);
    EXPECT_EQ(changes.front().record->retiring, retiring);
    EXPECT_EQ(changes.front().record->revision, Revision(4));
    EXPECT_TRUE(connected_.takeVersionRecordChanges().empty());
    connected_.onChanges(at(1s), { deleted(key, 6), written("own/software-versions/", "{}", 7) });
    changes = connected_.takeVersionRecordChanges();
    ASSERT_EQ(changes.size(), 1U);
    EXPECT_FALSE(changes.front().record);
    EXPECT_EQ(changes.front().asOf, Revision(6));
}

// Guards against a record that is taken for one of a single version because the others in it can't be read.
TEST_F(FleetStateTest, AnUnreadableRecordOfSoftwareVersionsIsNotOneOfASingleVersion)
{
    const auto key = versionsKeyOf("own/", ServiceId("model"));
    const std::string tooMany = formatVersions([] {
        std::set<SoftwareVersion> versions;
        for (std::size_t index = 0; index <= VersionLedger::maxVersions; ++index)
            versions.insert(SoftwareVersion(std::to_string(index)));
        return versions;
    }(),
        {});
    std::int64_t revision = 5;
    list(connected_, 0s, revision, {});
    for (const std::string& value : std::vector<std::string> { "", "broken", "\xff\xfe", "null", "[]", "[\"v1\"]", "{}", R"({"listed":["v1"]})", R"({"listed":["v1"],"retiring":5})", R"({"listed":["v1",2],"retiring":[]})", R"({"listed":[""],"retiring":[]})", tooMany, std::string(200'000, '['), R"({"listed":["v1"],"retiring":[],"more":")" + std::string(100'000, 'x') + "\"}" }) {
        connected_.onChanges(at(1s), { written(key, value, ++revision) });
        const auto changes = connected_.takeVersionRecordChanges();
        ASSERT_EQ(changes.size(), 1U) << value;
        VersionLedger ledger;
        ledger.onRecord(at(1s), changes.front().service, changes.front().record, changes.front().asOf);
        EXPECT_TRUE(ledger.listed().empty()) << value;
        ledger.beginRead(at(1s));
        ledger.onRead(at(1s), at(1s), { { changes.front().service, *changes.front().record } }, Revision(revision));
        EXPECT_FALSE(ledger.onlyVersion(ServiceId("model"), at(1s))) << value;
    }
}

TEST_F(FleetStateTest, RecordsOfSoftwareVersionsFollowTheStoreBackToAnOlderCopy)
{
    const auto key = versionsKeyOf("own/", ServiceId("model"));
    const auto first = formatVersions({ SoftwareVersion("v1") }, {});
    const auto second = formatVersions({ SoftwareVersion("v1"), SoftwareVersion("v2") }, {});
    list(connected_, 0s, 90, { written(key, second, 80) });
    connected_.takeVersionRecordChanges();
    listAgain(connected_, 2s, 40, { written(key, first, 20) });
    auto changes = connected_.takeVersionRecordChanges();
    ASSERT_EQ(changes.size(), 1U);
    EXPECT_EQ(changes.front().record->listed, std::set { SoftwareVersion("v1") });
    EXPECT_EQ(changes.front().asOf, Revision(20, StoreEra(1)));
    listAgain(connected_, 4s, 10, {}, StoreEra(2));
    changes = connected_.takeVersionRecordChanges();
    ASSERT_EQ(changes.size(), 1U);
    EXPECT_FALSE(changes.front().record);
    EXPECT_EQ(changes.front().asOf.era(), StoreEra(2));
}

// An entry of another writer costs itself alone, from a listing as well as from a change.
TEST_F(FleetStateTest, AServerWhoseEntryIsOddIsNotUsedUntilItIsWhole)
{
    list(connected_, 0s, 5, { written("op/config", "guides", 2), written("servers/a", "model", 3), written("servers/b", "broken", 4), written("servers/c", "model", 5) });
    EXPECT_EQ(usableAfter(connected_, 1s), 2U);
    connected_.onChanges(at(1s), { written("servers/b", "model", 6) });
    EXPECT_EQ(usableAfter(connected_, 1s), 3U);
    connected_.onChanges(at(2s), { written("servers/a", "broken", 7), written("servers/d", "model", 8) });
    EXPECT_EQ(usableAfter(connected_, 12s), 3U);
    EXPECT_EQ(connected_.registry().usable().front().server.id, BackendServerId("b"));
    connected_.onChanges(at(13s), { written("servers/a", "model", 9) });
    EXPECT_EQ(usableAfter(connected_, 13s), 4U);
    EXPECT_TRUE(connected_.snapshot());
}

// Otherwise each instance would keep and send whatever another writer puts into the registry.
TEST_F(FleetStateTest, AnOversizedValueIsNeitherKeptNorSentToPeers)
{
    const std::string large(1024UL * 1024, 'x');
    list(connected_, 0s, 5, { written("op/config", "guides", 2), written("servers/a", large, 3), written("op/evacuate/khomas-a", large, 4) });
    connected_.onChanges(at(1s), { written("servers/b", large, 6), written("servers/c", "model", 7) });
    std::size_t size = 0;
    const auto update = connected_.updateAfter(at(2s), disconnected_.positions());
    for (const auto& change : update.changes)
        size += change.value.value_or(std::string()).size();
    EXPECT_LT(size, 1024U);
    EXPECT_EQ(update.changes.size(), 5U);
    EXPECT_TRUE(connected_.registry().isEvacuated(DataCentreId("khomas-a")));
    disconnected_.onPeerUpdate(at(2s), update);
    EXPECT_EQ(disconnected_.positions(), connected_.positions());
    EXPECT_TRUE(disconnected_.registry().isEvacuated(DataCentreId("khomas-a")));
}

// Two entries of one name would count as two instances, and requests would be forwarded to the addresses of either.
TEST_F(FleetStateTest, AnInstanceEntryUnderAnotherNameNamesNoInstance)
{
    list(connected_, 0s, 5, { written("own/instances/i1", entryOf("i1"), 3), written("own/instances/odd", entryOf("i1"), 4), written("own/instances/", entryOf("i2"), 4), written("own/instances/i3", "{}", 5) });
    ASSERT_EQ(connected_.members().size(), 1U);
    EXPECT_EQ(connected_.members().front().id, InstanceId("i1"));
    connected_.onChanges(at(1s), { written("own/instances/odd", entryOf("odd"), 6), written("own/instances/i1", entryOf("odd"), 7) });
    connected_.advance(at(20s));
    ASSERT_EQ(connected_.members().size(), 1U);
    EXPECT_EQ(connected_.members().front().id, InstanceId("odd"));
}

TEST_F(FleetStateTest, AConfigurationMayBeLarge)
{
    const std::string large(900UL * 1024, 'x');
    list(connected_, 0s, 5, { written("op/config", large, 2) });
    EXPECT_TRUE(connected_.snapshot()->findWorkspace(WorkspaceId(large)));
}

} // namespace Ibisturn::Testing
