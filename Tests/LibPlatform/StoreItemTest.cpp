#include <LibKernel/Asio.h>

#include <LibCore/ManualClock.h>
#include <LibPlatform/StoreItem.h>

#include <gtest/gtest.h>

namespace Ibisturn::Testing {

namespace {

using namespace std::chrono_literals;

class StoreItemTest : public testing::Test {
protected:
    static StoreItem whole() { return { "servers/a", "value", 5 }; }

    std::optional<StoreChange> change(StoreItem item) { return makeStoreChange(clock_, std::move(item), { "servers/", Revision(9), Revision(7) }, oddItems_); }

    ManualClock clock_;
    OddItemLog oddItems_ { "item" };
};

} // namespace

TEST_F(StoreItemTest, AWholeItemIsTakenAsItIs)
{
    const auto written = change(whole());
    ASSERT_TRUE(written);
    EXPECT_EQ(written->key, "servers/a");
    EXPECT_EQ(written->value, "value");
    EXPECT_EQ(written->revision, Revision(5));
    const auto deleted = change({ "servers/a", std::nullopt, 5, true });
    ASSERT_TRUE(deleted);
    EXPECT_FALSE(deleted->value);
    EXPECT_EQ(deleted->revision, Revision(5));
    EXPECT_EQ(oddItems_.count(), 0U);
}

// Otherwise a server whose entry became unreadable would be used as its entry was before.
TEST_F(StoreItemTest, AnItemThatCannotBeReadReplacesWhatItsKeyMeant)
{
    auto item = whole();
    item.value.reset();
    EXPECT_EQ(change(item)->value, "");
    EXPECT_EQ(change(item)->revision, Revision(5));
    item = whole();
    item.revision.reset();
    EXPECT_EQ(change(item)->value, "");
    EXPECT_EQ(change(item)->revision, Revision(7));
    item.revision = -3;
    EXPECT_EQ(change(item)->revision, Revision(7));
    EXPECT_EQ(oddItems_.count(), 5U);
}

TEST_F(StoreItemTest, ADeletionWithoutARevisionIsOne)
{
    const auto deleted = change({ "servers/a", std::nullopt, std::nullopt, true });
    ASSERT_TRUE(deleted);
    EXPECT_FALSE(deleted->value);
    EXPECT_EQ(deleted->revision, Revision(7));
}

// A revision that the store has not reached would hide all changes of the key, and of the whole prefix, until it is reached.
TEST_F(StoreItemTest, NoItemIsLaterThanTheStore)
{
    auto item = whole();
    item.revision = std::int64_t(1) << 62;
    EXPECT_EQ(change(item)->revision, Revision(9));
    EXPECT_EQ(change(item)->value, "value");
}

TEST_F(StoreItemTest, AnItemWithoutAUsableKeyIsLeftOut)
{
    auto item = whole();
    item.key.reset();
    EXPECT_FALSE(change(item));
    item.key = "op/config";
    EXPECT_FALSE(change(item));
    EXPECT_EQ(oddItems_.count(), 2U);
}

TEST(OddItemLog, WritesALineForEachNameAndAFewInEachPeriod)
{
    OddItemLog log("item");
    TimePoint now(1h);
    EXPECT_TRUE(log.report(now, "a", "odd"));
    EXPECT_FALSE(log.report(now + 1s, "a", "odd"));
    EXPECT_TRUE(log.report(now + 1s, "b", "odd"));
    std::size_t lines = 0;
    for (int index = 0; index < 10'000; ++index)
        lines += log.report(now + 1s, fmt::format("c{}", index), "odd") ? 1 : 0;
    EXPECT_EQ(lines, OddItemLog::linesPerPeriod - 2);
    EXPECT_EQ(log.count(), 10'003U);
    now += OddItemLog::period;
    EXPECT_TRUE(log.report(now, "a", "odd"));
}

} // namespace Ibisturn::Testing
