#include <LibPeer/ControlMessages.h>

#include <gtest/gtest.h>

namespace Ibisturn::Testing {

namespace {

ControlEvent pass(const PeerAction& action)
{
    const auto bytes = encodeFrame({ Incarnation(1), RequestId(0), toPeerMessage(action) });
    return *toControlEvent(decodeFrame(std::string_view(bytes).substr(frameLengthBytes)).message);
}

} // namespace

TEST(ControlMessages, HeartbeatKeepsItsFields)
{
    ControlHeartbeat sent { HeartbeatKind::Reply, Incarnation(7), TimePoint(Duration(11)), Incarnation(9), TimePoint(Duration(13)), Revision(-1),
        Duration(-1), Readiness::Rechecking, UpdateWish::Full, MemberState::Leaving, { { "key", Revision(4), "id", "ann", "now" } } };
    const auto event = pass(SendHeartbeat { InstanceId("a"), sent });
    const auto& got = std::get<ControlHeartbeat>(event);
    EXPECT_EQ(got.kind, sent.kind);
    EXPECT_EQ(got.incarnation, sent.incarnation);
    EXPECT_EQ(got.sentAt, sent.sentAt);
    EXPECT_EQ(got.echoIncarnation, sent.echoIncarnation);
    EXPECT_EQ(got.echo, sent.echo);
    EXPECT_EQ(got.revision, sent.revision);
    EXPECT_EQ(got.storeAge, sent.storeAge);
    EXPECT_EQ(got.readiness, sent.readiness);
    EXPECT_EQ(got.wish, sent.wish);
    EXPECT_EQ(got.state, sent.state);
    ASSERT_EQ(got.withdrawals.size(), 1U);
    EXPECT_EQ(got.withdrawals.front().key, "key");
    EXPECT_EQ(got.withdrawals.front().seen, Revision(4));
}

TEST(ControlMessages, UpdateOfTenThousandRecordsKeepsDeletions)
{
    ConfigurationUpdate sent { UpdateKind::Full, Revision(1), Revision(9), { { "gone", std::nullopt, Revision(2) } } };
    for (int index = 0; index < 10000; ++index)
        sent.changes.push_back({ std::to_string(index), "value", Revision(3) });
    const auto event = pass(SendUpdate { InstanceId("a"), sent });
    const auto& got = std::get<ConfigurationUpdate>(event);
    ASSERT_EQ(got.changes.size(), sent.changes.size());
    EXPECT_FALSE(got.changes.front().value);
    EXPECT_EQ(got.changes.back().value, "value");
    EXPECT_EQ(got.to, Revision(9));
}

TEST(ControlMessages, NewsCarriesWishesAndAnswers)
{
    PeerStatus sent;
    const auto without = std::get<PeerStatus>(pass(SendPeerStatus { InstanceId("a"), sent }));
    EXPECT_TRUE(without.wishAfter.empty());
    EXPECT_FALSE(without.changesView);
    sent.wishAfter = { Revision(3), Revision(0), Revision(9) };
    sent.changes = { { "gone", std::nullopt, Revision(2) } };
    sent.changesView = StoreView::Partial;
    const auto got = std::get<PeerStatus>(pass(SendPeerStatus { InstanceId("a"), sent }));
    EXPECT_EQ(got.wishAfter, sent.wishAfter);
    ASSERT_EQ(got.changes.size(), 1U);
    EXPECT_EQ(got.changesView, StoreView::Partial);
}

TEST(ControlMessages, ChoiceOutOfRangeIsRefused)
{
    HeartbeatMessage message;
    message.readiness = 3;
    EXPECT_THROW(toControlEvent(message), Error);
}

} // namespace Ibisturn::Testing
