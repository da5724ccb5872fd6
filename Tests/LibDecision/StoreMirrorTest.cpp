#include <LibDecision/Registry/StoreMirror.h>
#include <Tests/Support/Cases.h>

#include <gtest/gtest.h>

namespace Ibisturn::Testing {

namespace {

RecordChange written(const std::string& key, std::int64_t revision)
{
    return { key, fmt::format("{}@{}", key, revision), Revision(revision) };
}

RecordChange deleted(const std::string& key, std::int64_t revision)
{
    return { key, std::nullopt, Revision(revision) };
}

} // namespace

TEST(StoreMirror, AppliesOnlyLaterRevisionsOfAKey)
{
    StoreMirror mirror;
    EXPECT_TRUE(mirror.apply(written("a/x", 5)));
    EXPECT_FALSE(mirror.apply(written("a/x", 4)));
    EXPECT_FALSE(mirror.apply(written("a/x", 5)));
    EXPECT_TRUE(mirror.apply(deleted("a/x", 7)));
    EXPECT_FALSE(mirror.apply(written("a/x", 6)));
    EXPECT_FALSE(mirror.find("a/x")->value);
}

TEST(StoreMirror, ListingDeletesMissingKeys)
{
    StoreMirror mirror;
    mirror.apply(written("a/old", 3));
    mirror.apply(written("b/other", 3));
    const auto newChanges = mirror.applyListing("a/", Revision(10), { written("a/new", 8) });
    ASSERT_EQ(newChanges.size(), 2U);
    EXPECT_FALSE(mirror.find("a/old")->value);
    EXPECT_TRUE(mirror.find("b/other")->value);
}

TEST(StoreMirror, ListingKeepsKeysWrittenAfterItsFirstPage)
{
    StoreMirror mirror;
    mirror.apply(written("a/late", 12));
    EXPECT_TRUE(mirror.applyListing("a/", Revision(10), {}).empty());
    EXPECT_TRUE(mirror.find("a/late")->value);
}

TEST(StoreMirror, DiscardsTheOldestDeletions)
{
    StoreMirror mirror;
    for (int index = 1; index <= 5; ++index)
        mirror.apply(deleted(fmt::format("a/{}", index), index));
    mirror.apply(written("a/kept", 1));
    mirror.discardDeletions(2);
    EXPECT_EQ(mirror.changesBelow("a/").size(), 3U);
    EXPECT_TRUE(mirror.find("a/5"));
    EXPECT_FALSE(mirror.find("a/1"));
    EXPECT_TRUE(mirror.find("a/kept"));
}

// For any order and repetition of changes, the mirror ends with the newest state received.
TEST(StoreMirror, AnyOrderOfChangesEndsInTheSameState)
{
    forEachCase([](Random& random) {
        std::vector<RecordChange> history;
        std::map<std::string, RecordChange> truth;
        for (std::int64_t revision = 1; revision <= 20; ++revision) {
            const auto key = fmt::format("a/{}", randomBelow(random, 4));
            const auto change = randomBelow(random, 3) == 0 ? deleted(key, revision) : written(key, revision);
            history.push_back(change);
            truth[key] = change;
        }
        auto received = history;
        for (int copies = 0; copies < 5; ++copies)
            received.push_back(randomElement(random, history));
        std::shuffle(received.begin(), received.end(), random);
        StoreMirror mirror;
        for (const auto& change : received)
            mirror.apply(change);
        for (const auto& [key, change] : truth)
            EXPECT_EQ(mirror.find(key)->value, change.value);
    });
}

// Guards against a store that came back from an older copy and whose changes were taken for old ones, since their revisions are lower.
TEST(StoreMirror, ALaterEraComesBeforeAHigherNumber)
{
    StoreMirror mirror;
    mirror.apply(written("a/x", 50));
    mirror.apply(written("a/lost", 49));
    const auto back = [](const std::string& key, std::int64_t number) { return RecordChange { key, "new", Revision(number, StoreEra(1)) }; };
    const auto newChanges = mirror.applyListing("a/", Revision(30, StoreEra(1)), { back("a/x", 20) });
    ASSERT_EQ(newChanges.size(), 2U);
    EXPECT_EQ(mirror.find("a/x")->value, "new");
    EXPECT_TRUE(newChanges[0].isFromOlderCopy());
    EXPECT_FALSE(mirror.find("a/lost")->value);
    EXPECT_TRUE(newChanges[1].isFromOlderCopy());
    EXPECT_EQ(newChanges[1].previous->revision, Revision(49));
    const auto next = mirror.apply(back("a/x", 31));
    ASSERT_TRUE(next);
    EXPECT_FALSE(next->isFromOlderCopy());
    EXPECT_FALSE(mirror.apply(written("a/x", 60)));
}

} // namespace Ibisturn::Testing
