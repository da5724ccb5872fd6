#include <LibPlatform/StoredStreamNotes.h>

#include <gtest/gtest.h>

namespace Ibisturn::Testing {

namespace {

const StreamOrigin oldOrigin { ServiceId("model"), SoftwareVersion("v1") };
const StreamOrigin newOrigin { ServiceId("model"), SoftwareVersion("v2") };

} // namespace

TEST(StoredStreamNotes, NotesAreReadAsTheyWereWritten)
{
    const std::vector<StreamNote> notes { { StreamKey(1), oldOrigin, {} }, { StreamKey(0xffff'ffff'ffff'ffff), newOrigin, {} }, { StreamKey(3), oldOrigin, {} } };
    const auto read = parseStreamNotes(formatStreamNotes(notes));
    ASSERT_TRUE(read);
    ASSERT_EQ(read->size(), 3U);
    EXPECT_EQ((*read)[0].key, StreamKey(1));
    EXPECT_EQ((*read)[0].origin, oldOrigin);
    EXPECT_EQ((*read)[1].key, StreamKey(3));
    EXPECT_EQ((*read)[1].origin, oldOrigin);
    EXPECT_EQ((*read)[2].key, StreamKey(0xffff'ffff'ffff'ffff));
    EXPECT_EQ((*read)[2].origin, newOrigin);
}

// A wrong origin would join the events of two versions, so an entry that is not whole says nothing.
TEST(StoredStreamNotes, EntriesThatCanNotBeReadSayNothing)
{
    const std::string valid = R"({"service":"model","version":"v1","keys":"0000000000000001"})";
    ASSERT_TRUE(parseStreamNotes("[" + valid + "]"));
    for (const auto& value : { std::string(), std::string("{}"), std::string("[1]"), "[" + valid, "[" + valid + ",{}]",
             std::string(R"([{"service":"model","version":"","keys":""}])"), std::string(R"([{"service":"model","version":"v1","keys":"1"}])"),
             std::string(R"([{"service":"model","version":"v1","keys":"000000000000000g"}])"), std::string(R"([{"service":"model","version":1,"keys":""}])"),
             std::string(300'000, ' ') })
        EXPECT_FALSE(parseStreamNotes(value)) << value.substr(0, 80);
}

// Otherwise the notes of a region could not be written as long as one of them is there.
TEST(StoredStreamNotes, ANameThatIsNotUtf8CostsItsOwnNotesAlone)
{
    const StreamOrigin odd { ServiceId("model"), SoftwareVersion("v\xff") };
    const auto read = parseStreamNotes(formatStreamNotes({ { StreamKey(1), odd, {} }, { StreamKey(2), newOrigin, {} } }));
    ASSERT_TRUE(read);
    ASSERT_EQ(read->size(), 2U);
    for (const auto& note : *read)
        EXPECT_EQ(note.origin == newOrigin, note.key == StreamKey(2));
}

TEST(StoredStreamNotes, ProcessesOfOneInstanceWriteDifferentKeys)
{
    const InstanceId instance("a");
    const auto key = streamNotesKeyOf("own/", instance, Incarnation(1), 1);
    EXPECT_TRUE(key.starts_with(streamNotesPrefixOf("own/")));
    EXPECT_FALSE(key.starts_with("own/"));
    EXPECT_NE(key, streamNotesKeyOf("own/", instance, Incarnation(2), 1));
    EXPECT_NE(key, streamNotesKeyOf("own/", instance, Incarnation(1), 2));
}

} // namespace Ibisturn::Testing
