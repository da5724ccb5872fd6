#include <LibPeer/ControlMessages.h>

#include <limits>

#include <gtest/gtest.h>

namespace Ibisturn::Testing {

namespace {

ControlEvent roundTrip(const PeerAction& action)
{
    const auto bytes = encodeFrame({ Incarnation(1), RequestId(0), toPeerMessage(action) });
    return *toControlEvent(decodeFrame(std::string_view(bytes).substr(frameLengthBytes)).message);
}

} // namespace

TEST(ControlMessages, HeartbeatKeepsItsFields)
{
    ControlHeartbeat sent { HeartbeatKind::Reply, Incarnation(7), TimePoint(Duration(11)), Incarnation(9), TimePoint(Duration(13)), Revision(-1),
        Duration(-1), Readiness::Rechecking, UpdateRequest::Full, MemberState::Leaving, { { "key", Revision(4), "id", "ann", "now" } } };
    const auto event = roundTrip(SendHeartbeat { InstanceId("a"), sent });
    const auto& received = std::get<ControlHeartbeat>(event);
    EXPECT_EQ(received.kind, sent.kind);
    EXPECT_EQ(received.incarnation, sent.incarnation);
    EXPECT_EQ(received.sentAt, sent.sentAt);
    EXPECT_EQ(received.echoIncarnation, sent.echoIncarnation);
    EXPECT_EQ(received.echo, sent.echo);
    EXPECT_EQ(received.revision, sent.revision);
    EXPECT_EQ(received.storeAge, sent.storeAge);
    EXPECT_EQ(received.readiness, sent.readiness);
    EXPECT_EQ(received.updateRequest, sent.updateRequest);
    EXPECT_EQ(received.state, sent.state);
    ASSERT_EQ(received.withdrawals.size(), 1U);
    EXPECT_EQ(received.withdrawals.front().key, "key");
    EXPECT_EQ(received.withdrawals.front().expected, Revision(4));
}

TEST(ControlMessages, UpdateOfTenThousandRecordsKeepsDeletions)
{
    ConfigurationUpdate sent { UpdateKind::Full, Revision(1), Revision(9), { { "gone", std::nullopt, Revision(2) } } };
    for (int index = 0; index < 10000; ++index)
        sent.changes.push_back({ std::to_string(index), "value", Revision(3) });
    const auto event = roundTrip(SendUpdate { InstanceId("a"), sent });
    const auto& received = std::get<ConfigurationUpdate>(event);
    ASSERT_EQ(received.changes.size(), sent.changes.size());
    EXPECT_FALSE(received.changes.front().value);
    EXPECT_EQ(received.changes.back().value, "value");
    EXPECT_EQ(received.to, Revision(9));
}

TEST(ControlMessages, StoreUpdateCarriesRequestsAndChanges)
{
    StoreUpdate sent;
    const auto without = std::get<StoreUpdate>(roundTrip(SendStoreUpdate { InstanceId("a"), sent }));
    EXPECT_TRUE(without.requestAfter.empty());
    EXPECT_FALSE(without.view);
    sent.requestAfter = { Revision(3), Revision(0), Revision(9) };
    sent.changes = { { "gone", std::nullopt, Revision(2) } };
    sent.positions = { Revision(4), Revision(5), Revision(6) };
    sent.view = StoreView::Partial;
    sent.listedPrefixes = { 1 };
    sent.existingKeys = { "servers/a", "servers/b" };
    const auto received = std::get<StoreUpdate>(roundTrip(SendStoreUpdate { InstanceId("a"), sent }));
    EXPECT_EQ(received.requestAfter, sent.requestAfter);
    ASSERT_EQ(received.changes.size(), 1U);
    EXPECT_EQ(received.positions, sent.positions);
    EXPECT_EQ(received.view, StoreView::Partial);
    EXPECT_EQ(received.listedPrefixes, sent.listedPrefixes);
    EXPECT_EQ(received.existingKeys, sent.existingKeys);
}

TEST(ControlMessages, StatusMessagesKeepTheirFields)
{
    const AllowanceDemand demand { WorkspaceId("school"), TokensPerSecond(1.5), TokenCount(7) };
    const InstanceLoad load { BackendServerId("s"), 1, TokenCount(2), TokenCount(3), TokenCount(4) };
    const CrashEvidence evidence { { { { ServiceId("model"), 77 }, BackendServerId("s"), StartTime(9), 55, Duration(10) } }, { { { ServiceId("model"), 78 }, Duration(11) } } };
    const InstanceReport report { Incarnation(5), StatusNumber(6), MemberState::Leaving, Duration(7), Duration(8), { demand }, { load }, evidence };
    const auto receivedReport = std::get<InstanceReport>(roundTrip(SendReport { InstanceId("a"), report }));
    EXPECT_EQ(receivedReport.incarnation, report.incarnation);
    EXPECT_EQ(receivedReport.number, report.number);
    EXPECT_EQ(receivedReport.state, report.state);
    EXPECT_EQ(receivedReport.uptime, report.uptime);
    EXPECT_EQ(receivedReport.lastDigestAgo, report.lastDigestAgo);
    EXPECT_EQ(receivedReport.demands.front().used, demand.used);
    EXPECT_EQ(receivedReport.loads.front().reservedTokens, load.reservedTokens);
    ASSERT_EQ(receivedReport.evidence.crashes.size(), 1U);
    EXPECT_EQ(receivedReport.evidence.crashes.front().part, evidence.crashes.front().part);
    EXPECT_EQ(receivedReport.evidence.crashes.front().server, BackendServerId("s"));
    EXPECT_EQ(receivedReport.evidence.crashes.front().started, StartTime(9));
    EXPECT_EQ(receivedReport.evidence.crashes.front().request, 55U);
    EXPECT_EQ(receivedReport.evidence.crashes.front().age, Duration(10));
    EXPECT_EQ(receivedReport.evidence.answers.front().age, Duration(11));

    RegionDigest region { RegionId("khomas"), 3, Duration(9), { demand }, { { ServiceId("model"), Duration(1), Duration(2), 0.5 } }, { { InstanceId("b"), Incarnation(4) } }, { InstanceId("c") }, evidence };
    const FleetDigest digest { StatusNumber(6), true, region, { load }, { region, region }, { true, Duration(11), { Revision(1), Revision(2) } } };
    const auto receivedDigest = std::get<FleetDigest>(roundTrip(SendDigest { InstanceId("a"), digest }));
    EXPECT_EQ(receivedDigest.report, digest.report);
    EXPECT_TRUE(receivedDigest.isCounted);
    EXPECT_EQ(receivedDigest.own.instances, 3U);
    EXPECT_EQ(receivedDigest.own.waitEstimates.front().wait, Duration(2));
    EXPECT_EQ(receivedDigest.own.leaving.front().incarnation, Incarnation(4));
    EXPECT_EQ(receivedDigest.own.unlisted, region.unlisted);
    EXPECT_EQ(receivedDigest.others.size(), 2U);
    EXPECT_EQ(receivedDigest.others.back().evidence.answers.front().part, evidence.answers.front().part);
    EXPECT_TRUE(receivedDigest.store.isFollowing);
    EXPECT_EQ(receivedDigest.store.age, Duration(11));
    EXPECT_EQ(receivedDigest.store.positions, digest.store.positions);

    const RegionExchange exchange { Incarnation(1), StatusNumber(2), true, std::nullopt, region };
    const auto receivedExchange = std::get<RegionExchange>(roundTrip(SendExchange { InstanceId("a"), exchange }));
    EXPECT_EQ(receivedExchange.number, exchange.number);
    EXPECT_TRUE(receivedExchange.isReply);
    EXPECT_FALSE(receivedExchange.lastReceivedAgo);
    EXPECT_EQ(receivedExchange.digest.region, region.region);
}

TEST(ControlMessages, NotesOfStreamsKeepTheirFields)
{
    const StreamOrigin before { ServiceId("model"), SoftwareVersion("1.4") };
    const StreamOrigin after { ServiceId("model"), SoftwareVersion("1.5") };
    const std::vector<StreamNote> notes { { StreamKey(1), before, std::chrono::milliseconds(0) }, { StreamKey(std::numeric_limits<std::uint64_t>::max()), after, std::chrono::milliseconds(32 * 249) },
        { StreamKey(3), before, std::chrono::milliseconds(63) } };
    const auto expectSame = [&](const std::vector<StreamNote>& received) {
        ASSERT_EQ(received.size(), 3U);
        // They are grouped by origin.
        EXPECT_EQ(received[0].key, notes[0].key);
        EXPECT_EQ(received[0].origin, before);
        EXPECT_EQ(received[0].age, notes[0].age);
        EXPECT_EQ(received[1].key, notes[2].key);
        EXPECT_EQ(received[1].origin, before);
        EXPECT_EQ(received[1].age, std::chrono::milliseconds(32));
        EXPECT_EQ(received[2].key, notes[1].key);
        EXPECT_EQ(received[2].origin, after);
        EXPECT_EQ(received[2].age, notes[1].age);
    };
    InstanceReport report;
    report.notes = notes;
    report.confirmedDigest = StatusNumber(0);
    const auto receivedReport = std::get<InstanceReport>(roundTrip(SendReport { InstanceId("a"), report }));
    expectSame(receivedReport.notes);
    EXPECT_EQ(receivedReport.confirmedDigest, StatusNumber(0));
    FleetDigest digest;
    digest.notes = notes;
    expectSame(std::get<FleetDigest>(roundTrip(SendDigest { InstanceId("a"), digest })).notes);
    RegionExchange exchange;
    exchange.notes = notes;
    exchange.confirmedExchange = StatusNumber(8);
    const auto receivedExchange = std::get<RegionExchange>(roundTrip(SendExchange { InstanceId("a"), exchange }));
    expectSame(receivedExchange.notes);
    EXPECT_EQ(receivedExchange.confirmedExchange, StatusNumber(8));
}

TEST(ControlMessages, NotesWithoutKeysOrAgesAreRejected)
{
    const auto expectRejected = [](const std::string& keys, const std::string& ages) {
        const std::vector<StreamNotesMessage> notes { { "model", "1.4", keys, ages } };
        InstanceReportMessage report;
        report.notes = notes;
        EXPECT_THROW(toControlEvent(report), Error);
        FleetDigestMessage digest;
        digest.notes = notes;
        EXPECT_THROW(toControlEvent(digest), Error);
        RegionExchangeMessage exchange;
        exchange.notes = notes;
        EXPECT_THROW(toControlEvent(exchange), Error);
    };
    expectRejected(std::string(16, 'k'), "a");
    expectRejected(std::string(15, 'k'), "ab");
    expectRejected("", "a");
    expectRejected("k", "");
}

TEST(ControlMessages, EnumValueOutOfRangeIsRejected)
{
    HeartbeatMessage message;
    message.readiness = 3;
    EXPECT_THROW(toControlEvent(message), Error);
}

} // namespace Ibisturn::Testing
