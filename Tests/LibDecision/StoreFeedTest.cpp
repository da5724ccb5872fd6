#include <LibDecision/Dissemination/StoreFeed.h>

#include <gtest/gtest.h>

namespace Ibisturn::Testing {

namespace {

using namespace std::chrono_literals;

const InstanceId first("first");
const InstanceId second("second");

TimePoint at(Duration time)
{
    return TimePoint(1h) + time;
}

/// Advances a feed of the instance with rank `rank` until `end`, while `first` follows the store until `lostAt`.
void run(StoreFeed& feed, std::size_t rank, Duration begin, Duration end, Duration lostAt)
{
    for (auto time = begin; time < end; time += 100ms) {
        if (time < lostAt)
            feed.onStatus(at(time), at(time), first, 0, { true, 500ms, { Revision(5) } });
        feed.advance(at(time), rank, { Revision(5) });
    }
}

} // namespace

TEST(StoreFeed, TheFirstInRankFollowsTheStore)
{
    StoreFeed feed(at(0s));
    feed.advance(at(0s), 0, {});
    EXPECT_TRUE(feed.isFollowing());
    run(feed, 0, 0s, 20s, 20s);
    EXPECT_TRUE(feed.isFollowing());
}

TEST(StoreFeed, OthersDoNotFollowWhileABetterOneDoes)
{
    StoreFeed feed(at(0s));
    run(feed, 1, 0s, 5s, 20s);
    EXPECT_FALSE(feed.isFollowing());
    EXPECT_EQ(feed.confirmedAt(), at(4400ms));
}

TEST(StoreFeed, OthersStopOnceABetterOneFollowsAgain)
{
    StoreFeed feed(at(0s));
    run(feed, 1, 0s, 10s, 2s);
    EXPECT_TRUE(feed.isFollowing());
    run(feed, 1, 10s, 10500ms, 20s);
    EXPECT_TRUE(feed.isFollowing());
    run(feed, 1, 10500ms, 13s, 20s);
    EXPECT_FALSE(feed.isFollowing());
}

TEST(StoreFeed, TheNextInRankTakesOverOneAfterTheOther)
{
    StoreFeed next(at(0s));
    StoreFeed later(at(0s));
    const InstanceId witness("witness");
    for (auto time = 0ms; time < 20s; time += 100ms) {
        const bool isLost = time >= 10s;
        for (auto* feed : { &next, &later }) {
            feed->onStatus(at(time), at(time), isLost ? witness : first, isLost ? 9 : 0, { !isLost, isLost ? time - 9500ms : 500ms, { Revision(5) } });
            feed->advance(at(time), feed == &next ? 1 : 5, { Revision(5) });
        }
        if (time == 11s) {
            EXPECT_TRUE(next.isFollowing());
            EXPECT_FALSE(later.isFollowing());
        }
    }
    EXPECT_TRUE(later.isFollowing());
}

TEST(StoreFeed, AnInstanceThatHearsFromNobodyFollowsTheStore)
{
    StoreFeed feed(at(0s));
    run(feed, 90, 0s, 10s, 10s);
    EXPECT_FALSE(feed.isFollowing());
    run(feed, 90, 10s, 13s, 10s);
    EXPECT_TRUE(feed.isFollowing());
}

// An instance whose own calls fail, and whose copy is current only because of others, must not make these stop.
TEST(StoreFeed, OnlyAnInstanceThatTheStoreConfirmsCountsAsFollowing)
{
    StoreFeed cutOff(at(0s));
    cutOff.advance(at(0s), 0, {});
    cutOff.onConfirmed(at(0s), 0);
    EXPECT_TRUE(cutOff.status(at(1s), {}).isFollowing);
    cutOff.onStatus(at(4s), at(4s), second, 1, { true, 100ms, {} });
    cutOff.advance(at(4s), 0, {});
    const auto status = cutOff.status(at(4s), {});
    EXPECT_FALSE(status.isFollowing);
    EXPECT_EQ(status.age, 100ms);
}

TEST(StoreFeed, RequestsChangesFromTheInstanceThatIsAhead)
{
    StoreFeed feed(at(0s));
    run(feed, 1, 0s, 5s, 20s);
    feed.onStatus(at(5s), at(5s), first, 0, { true, 100ms, { Revision(5), Revision(9) } });
    EXPECT_EQ(feed.sourceOf(at(5s), { Revision(5), Revision(8) }), first);
    EXPECT_FALSE(feed.sourceOf(at(5100ms), { Revision(5), Revision(8) }));
    EXPECT_EQ(feed.sourceOf(at(5300ms), { Revision(5), Revision(8) }), first);
    EXPECT_FALSE(feed.sourceOf(at(6s), { Revision(5), Revision(9) }));
    EXPECT_FALSE(feed.sourceOf(at(9s), { Revision(5), Revision(8) }));
}

// All instances taking a full copy from the one that follows the store would take many times as long as listing the store.
TEST(StoreFeed, InstancesHaveTimeToListAStoreThatCameBackThemselves)
{
    StoreFeed feed(at(0s));
    const std::vector<Revision> own { Revision(500) };
    feed.onStatus(at(0s), at(0s), first, 0, { true, 100ms, { Revision(500) } });
    const auto status = StoreFeedStatus { true, 100ms, { Revision(40, StoreEra(1)) } };
    Duration time = 1s;
    for (; time < 2900ms; time += 100ms) {
        feed.onStatus(at(time), at(time), first, 0, status);
        feed.advance(at(time), 1, own);
        EXPECT_FALSE(feed.sourceOf(at(time), own));
    }
    feed.onStatus(at(3100ms), at(3100ms), first, 0, status);
    EXPECT_EQ(feed.sourceOf(at(3100ms), own), first);
    EXPECT_EQ(feed.sourceOf(at(3400ms), { Revision(40, StoreEra(1)) }), std::nullopt);
}

// Guards against a change that never arrives because the instance that follows the store is too slow to send it to all others.
TEST(StoreFeed, AnInstanceThatStaysBehindFollowsTheStoreItself)
{
    StoreFeed feed(at(0s));
    run(feed, 1, 0s, 5s, 20s);
    const std::vector<Revision> behind { Revision(5) };
    const StoreFeedStatus ahead { true, 100ms, { Revision(6) } };
    Duration time = 5s;
    for (; time <= 6s; time += 100ms) {
        feed.onStatus(at(time), at(time), first, 0, ahead);
        feed.advance(at(time), 1, behind);
        EXPECT_FALSE(feed.isFollowing());
    }
    for (; time <= 9s; time += 100ms) {
        feed.onStatus(at(time), at(time), first, 0, ahead);
        feed.advance(at(time), 1, behind);
    }
    EXPECT_TRUE(feed.isFollowing());
    for (; time <= 11s; time += 100ms) {
        feed.onStatus(at(time), at(time), first, 0, ahead);
        feed.advance(at(time), 1, { Revision(6) });
    }
    EXPECT_FALSE(feed.isFollowing());
}

// Many small changes leave an instance behind at each moment without keeping it from catching up.
TEST(StoreFeed, AnInstanceThatCatchesUpAgainAndAgainDoesNotFollowTheStore)
{
    StoreFeed feed(at(0s));
    run(feed, 1, 0s, 5s, 20s);
    std::int64_t revision = 5;
    for (Duration time = 5s; time < 15s; time += 400ms, ++revision) {
        feed.onStatus(at(time), at(time), first, 0, { true, 100ms, { Revision(revision + 1) } });
        feed.advance(at(time), 1, { Revision(revision) });
        EXPECT_FALSE(feed.isFollowing());
        feed.advance(at(time + 300ms), 1, { Revision(revision + 1) });
        EXPECT_FALSE(feed.isFollowing());
    }
}

// An instance of a version that knows no eras sends positions without them. Guards against one in a later era that keeps an old
// configuration for good, because it takes the other's higher numbers for older ones and itself for current.
TEST(StoreFeed, AnInstanceInAnEarlierEraNeitherConfirmsNorKeepsOthersFromFollowing)
{
    const std::vector<Revision> own { Revision(5, StoreEra(1)) };
    const StoreFeedStatus earlier { true, 100ms, { Revision(9) } };
    StoreFeed next(at(0s));
    StoreFeed later(at(0s));
    Duration time = 0s;
    for (; time <= 3s; time += 100ms) {
        for (auto* feed : { &next, &later }) {
            feed->onStatus(at(time), at(time), first, 0, earlier);
            feed->advance(at(time), feed == &next ? 1 : 90, own);
            EXPECT_FALSE(feed->confirmedAt());
            EXPECT_FALSE(feed->status(at(time), own).age);
        }
    }
    EXPECT_TRUE(next.isFollowing());
    EXPECT_TRUE(later.isFollowing());
    for (; time <= 6s; time += 100ms) {
        next.onStatus(at(time), at(time), first, 0, earlier);
        next.onConfirmed(at(time), 0);
        next.advance(at(time), 1, own);
        EXPECT_TRUE(next.isFollowing());
    }
}

// Guards against a confirmation of a copy of which a part is still of the earlier era.
TEST(StoreFeed, AnInstanceThatIsPartlyInAnEarlierEraDoesNotConfirm)
{
    StoreFeed feed(at(0s));
    const std::vector<Revision> own { Revision(5, StoreEra(1)), Revision(7, StoreEra(1)) };
    feed.onStatus(at(0s), at(0s), first, 0, { true, 100ms, { Revision(5, StoreEra(1)), Revision(9) } });
    feed.advance(at(0s), 1, own);
    EXPECT_FALSE(feed.confirmedAt());
    feed.onStatus(at(1s), at(1s), first, 0, { true, 100ms, own });
    feed.advance(at(1s), 1, own);
    EXPECT_EQ(feed.confirmedAt(), at(900ms));
}

} // namespace Ibisturn::Testing
