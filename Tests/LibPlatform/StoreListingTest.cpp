#include <LibKernel/Asio.h>

#include <LibPlatform/StoreListing.h>

#include <gtest/gtest.h>

namespace Ibisturn::Testing {

namespace {

StoreEntry entryOf(const std::string& key, std::int64_t revision = 1, std::size_t size = 1) { return { key, std::string(size, 'v'), Revision(revision) }; }

void addPage(StoreListing& listing, std::initializer_list<const char*> keys, bool hasMore)
{
    for (const auto* key : keys)
        listing.add(entryOf(key));
    listing.endPage(hasMore);
}

} // namespace

TEST(StoreListing, GoesOnAfterTheLastKeyOfAPage)
{
    StoreListing listing;
    EXPECT_EQ(listing.after(), "");
    addPage(listing, { "a", "b" }, true);
    EXPECT_FALSE(listing.isComplete());
    EXPECT_EQ(listing.after(), "b");
    addPage(listing, { "c" }, false);
    EXPECT_TRUE(listing.isComplete());
    EXPECT_EQ(listing.take().size(), 3U);
}

// The store's order of keys need not be that of their bytes.
TEST(StoreListing, AnyOrderOfKeysIsComplete)
{
    StoreListing listing;
    addPage(listing, { "b", "a" }, true);
    EXPECT_EQ(listing.after(), "a");
    addPage(listing, { "A", "B" }, true);
    addPage(listing, {}, false);
    EXPECT_EQ(listing.take().size(), 4U);
}

TEST(StoreListing, RepeatsOfSomeEntriesDoNotMatter)
{
    StoreListing listing;
    addPage(listing, { "a", "b" }, true);
    listing.add(entryOf("b", 3, 7));
    listing.add(entryOf("a", 0));
    listing.add(entryOf("c"));
    listing.endPage(false);
    const auto entries = listing.take();
    ASSERT_EQ(entries.size(), 3U);
    EXPECT_EQ(entries.at(0).revision, Revision(1));
    EXPECT_EQ(entries.at(1).value.size(), 7U);
}

// Guards against a listing that never ends, and against one that takes what it lacks for removed.
TEST(StoreListing, APageWithoutANewKeyBeforeOthersFails)
{
    StoreListing repeated;
    addPage(repeated, { "a", "b" }, true);
    EXPECT_THROW(addPage(repeated, { "a", "b" }, true), Error);
    EXPECT_FALSE(repeated.isComplete());
    StoreListing empty;
    EXPECT_THROW(addPage(empty, {}, true), Error);
    StoreListing last;
    addPage(last, { "a" }, true);
    addPage(last, { "a" }, false);
    EXPECT_EQ(last.take().size(), 1U);
}

TEST(StoreListing, LargeValuesAreKeptUpToALimit)
{
    constexpr std::size_t size = 1024UL * 1024;
    StoreListing listing;
    std::size_t kept = 0;
    for (int index = 0; index < 40; ++index)
        kept += listing.add(entryOf(fmt::format("large-{:02}", index), 1, size)) ? 1 : 0;
    EXPECT_EQ(kept, StoreListing::maxLargeValues.count() / size);
    EXPECT_TRUE(listing.add(entryOf("small", 1, StoreListing::smallValue.count())));
    listing.endPage(false);
    const auto entries = listing.take();
    ASSERT_EQ(entries.size(), 41U);
    EXPECT_EQ(entries.front().value.size(), size);
    EXPECT_EQ(entries.at(39).value, "");
}

TEST(StoreListing, ItsSizeIsBounded)
{
    StoreListing listing;
    const auto add = [&listing] {
        for (int index = 0; index < 10'000; ++index) {
            listing.add(entryOf(fmt::format("{:08}", index), 1, StoreListing::smallValue.count()));
            listing.endPage(true);
        }
    };
    EXPECT_THROW(add(), Error);
}

} // namespace Ibisturn::Testing
