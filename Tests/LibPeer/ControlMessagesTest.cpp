#include <LibPeer/ControlMessages.h>

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

TEST(ControlMessages, PeerStatusCarriesUpdateRequestsAndChanges)
{
    PeerStatus sent;
    const auto without = std::get<PeerStatus>(roundTrip(SendPeerStatus { InstanceId("a"), sent }));
    EXPECT_TRUE(without.requestAfter.empty());
    EXPECT_FALSE(without.storeView);
    sent.requestAfter = { Revision(3), Revision(0), Revision(9) };
    sent.changes = { { "gone", std::nullopt, Revision(2) } };
    sent.storeView = StoreView::Partial;
    const auto received = std::get<PeerStatus>(roundTrip(SendPeerStatus { InstanceId("a"), sent }));
    EXPECT_EQ(received.requestAfter, sent.requestAfter);
    ASSERT_EQ(received.changes.size(), 1U);
    EXPECT_EQ(received.storeView, StoreView::Partial);
}

TEST(ControlMessages, EnumValueOutOfRangeIsRejected)
{
    HeartbeatMessage message;
    message.readiness = 3;
    EXPECT_THROW(toControlEvent(message), Error);
}

} // namespace Ibisturn::Testing
