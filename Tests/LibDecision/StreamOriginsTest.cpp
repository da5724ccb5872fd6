#include <LibDecision/Streams/StreamOrigins.h>

#include <algorithm>
#include <set>

#include <fmt/format.h>
#include <gtest/gtest.h>

namespace Ibisturn::Testing {

namespace {

using namespace std::chrono_literals;

const WorkspaceId school("school");
const WorkspaceId clinic("clinic");
const StreamOrigin oldModel { ServiceId("model"), SoftwareVersion("1.4") };
const StreamOrigin newModel { ServiceId("model"), SoftwareVersion("1.5") };
const StreamOrigin otherService { ServiceId("other"), SoftwareVersion("1.4") };
constexpr Duration lifetime = 24s;

TimePoint at(Duration time)
{
    return TimePoint(1h) + time;
}

std::string attempt(int number)
{
    return fmt::format("attempt-{}", number);
}

StreamKey keyOf(int number)
{
    return streamKeyOf(school, attempt(number));
}

} // namespace

// Guards against a resumption that goes on with another version, or that nobody can place although its stream is known.
TEST(StreamOrigins, KnowsWhatBeganAStream)
{
    StreamOrigins origins;
    EXPECT_FALSE(origins.find(at(0s), keyOf(1)));
    origins.record(at(0s), school, attempt(1), oldModel);
    origins.record(at(0s), school, attempt(2), newModel);
    EXPECT_EQ(origins.find(at(1s), keyOf(1)), oldModel);
    EXPECT_EQ(origins.find(at(1s), keyOf(2)), newModel);
    EXPECT_FALSE(origins.find(at(1s), keyOf(3)));
}

// Guards against a workspace that resumes another one's stream by naming its attempt.
TEST(StreamOrigins, WorkspacesDoNotSeeEachOthersStreams)
{
    StreamOrigins origins;
    origins.record(at(0s), school, attempt(1), oldModel);
    EXPECT_FALSE(origins.find(at(0s), streamKeyOf(clinic, attempt(1))));
    origins.record(at(0s), clinic, attempt(1), newModel);
    EXPECT_EQ(origins.find(at(0s), streamKeyOf(school, attempt(1))), oldModel);
    EXPECT_EQ(origins.find(at(0s), streamKeyOf(clinic, attempt(1))), newModel);
}

// Guards against keys whose boundary between workspace and attempt can be moved by a caller's choice of ids.
TEST(StreamOrigins, KeysTellWorkspaceAndAttemptApart)
{
    const std::vector<std::pair<std::string, std::string>> names { { "ab", "c" }, { "a", "bc" }, { "", "abc" }, { "abc", "" }, { "a:b", "c" }, { "a", ":bc" }, { "1", ":abc" },
        { "", "1:abc" }, { std::string("a\0b", 3), "c" }, { "a", std::string("\0b", 2) + "c" } };
    std::set<StreamKey> keys;
    for (const auto& [workspace, attemptId] : names)
        keys.insert(streamKeyOf(WorkspaceId(workspace), attemptId));
    EXPECT_EQ(keys.size(), names.size());
}

// Instances of different processes and versions must compute the same keys.
TEST(StreamOrigins, KeysAreTheSameInEveryProcess)
{
    EXPECT_EQ(streamKeyOf(school, "attempt-1").count(), 17997327102606563197U);
}

TEST(StreamOrigins, ForgetsAStreamAfterItsLifetime)
{
    StreamOrigins origins;
    origins.setLifetime(lifetime);
    origins.record(at(0s), school, attempt(1), oldModel);
    origins.onNotes(at(2s), { { keyOf(2), oldModel, 1s } });
    EXPECT_TRUE(origins.find(at(lifetime - 1ms), keyOf(1)));
    EXPECT_FALSE(origins.find(at(lifetime), keyOf(1)));
    EXPECT_TRUE(origins.find(at(lifetime + 1s - 1ms), keyOf(2)));
    EXPECT_FALSE(origins.find(at(lifetime + 1s), keyOf(2)));
    EXPECT_EQ(origins.size(), 2U);
    origins.onNotes(at(lifetime + 1s), {});
    EXPECT_EQ(origins.size(), 0U);
    // An id may be used again afterwards.
    origins.record(at(lifetime + 2s), school, attempt(1), newModel);
    EXPECT_EQ(origins.find(at(lifetime + 2s), keyOf(1)), newModel);
}

TEST(StreamOrigins, IgnoresNotesThatHaveExpired)
{
    StreamOrigins origins;
    origins.setLifetime(3s);
    origins.onNotes(at(0s), { { keyOf(1), oldModel, 3s }, { keyOf(2), oldModel, 2999ms } });
    EXPECT_EQ(origins.size(), 1U);
    EXPECT_TRUE(origins.find(at(0s), keyOf(2)));
}

// Guards against streams whose resumptions outlast the first note.
TEST(StreamOrigins, AStreamThatIsNotedAgainIsKeptLonger)
{
    StreamOrigins origins;
    origins.setLifetime(lifetime);
    origins.record(at(0s), school, attempt(1), oldModel);
    origins.onNotes(at(0s), { { keyOf(2), oldModel, 0s } });
    origins.record(at(20s), school, attempt(1), oldModel);
    origins.onNotes(at(20s), { { keyOf(2), oldModel, 0s } });
    // A note that was delayed does not shorten the time.
    origins.onNotes(at(21s), { { keyOf(1), oldModel, 3s } });
    for (const auto key : { keyOf(1), keyOf(2) }) {
        EXPECT_TRUE(origins.find(at(20s + lifetime - 1ms), key));
        EXPECT_FALSE(origins.find(at(20s + lifetime), key));
    }
    origins.onNotes(at(20s + lifetime - 1ms), {});
    EXPECT_EQ(origins.size(), 2U);
    origins.onNotes(at(20s + lifetime), {});
    EXPECT_EQ(origins.size(), 0U);
}

// Guards against a stream that goes on with the version of another one that had the same id.
TEST(StreamOrigins, ContradictoryOriginsAreUnknownUntilTheyExpire)
{
    for (const auto& other : { newModel, otherService }) {
        StreamOrigins origins;
        origins.setLifetime(lifetime);
        origins.record(at(0s), school, attempt(1), oldModel);
        origins.onNotes(at(1s), { { keyOf(1), other, 0s } });
        EXPECT_FALSE(origins.find(at(1s), keyOf(1)));
        // The first origin does not become the only one by being noted again.
        origins.record(at(2s), school, attempt(1), oldModel);
        EXPECT_FALSE(origins.find(at(2s), keyOf(1)));
        EXPECT_FALSE(origins.find(at(2s + lifetime - 1ms), keyOf(1)));
        origins.record(at(2s + lifetime), school, attempt(1), other);
        EXPECT_EQ(origins.find(at(2s + lifetime), keyOf(1)), other);
    }
}

// Guards against an instance that learns of one of two contradictory origins only.
TEST(StreamOrigins, ReportsBothOriginsOfAContradiction)
{
    StreamOrigins origins;
    origins.onNotes(at(0s), { { keyOf(1), oldModel, 0s } });
    origins.record(at(10s), school, attempt(1), newModel);
    StreamOrigins started;
    started.onNotes(at(10s), origins.recentNotes(at(10s)));
    EXPECT_EQ(started.size(), 1U);
    EXPECT_FALSE(started.find(at(10s), keyOf(1)));
}

TEST(StreamOrigins, ReportsOwnNotesForSeveralPeriods)
{
    StreamOriginLimits limits;
    limits.reportedNotes = 3;
    StreamOrigins origins(limits);
    origins.record(at(0s), school, attempt(1), oldModel);
    origins.onNotes(at(0s), { { keyOf(2), oldModel, 0s } });
    const auto notes = origins.recentNotes(at(limits.reportWindow));
    ASSERT_EQ(notes.size(), 1U);
    EXPECT_EQ(notes.front().key, keyOf(1));
    EXPECT_EQ(notes.front().origin, oldModel);
    EXPECT_EQ(notes.front().age, limits.reportWindow);
    EXPECT_TRUE(origins.recentNotes(at(limits.reportWindow + 1ms)).empty());
    for (int number = 3; number < 10; ++number)
        origins.record(at(2s + 1ms * number), school, attempt(number), oldModel);
    const auto newest = origins.recentNotes(at(3s));
    ASSERT_EQ(newest.size(), 3U);
    EXPECT_EQ(newest.front().key, keyOf(9));
    EXPECT_EQ(newest.back().key, keyOf(7));
}

// Guards against a workspace whose streams displace those of the others.
TEST(StreamOrigins, AWorkspaceDisplacesOnlyItsOwnOldestNotes)
{
    StreamOriginLimits limits;
    limits.notesPerWorkspace = 100;
    StreamOrigins origins(limits);
    origins.record(at(0s), clinic, "theirs", newModel);
    for (int number = 0; number < 1000; ++number) {
        origins.record(at(1ms * number), school, attempt(number), oldModel);
        // Noted again, so it is never the oldest.
        origins.record(at(1ms * number), school, attempt(0), oldModel);
    }
    EXPECT_EQ(origins.size(), 101U);
    EXPECT_TRUE(origins.find(at(1s), streamKeyOf(clinic, "theirs")));
    EXPECT_TRUE(origins.find(at(1s), keyOf(0)));
    EXPECT_FALSE(origins.find(at(1s), keyOf(900)));
    for (int number = 901; number < 1000; ++number)
        EXPECT_TRUE(origins.find(at(1s), keyOf(number))) << number;
}

TEST(StreamOrigins, TheOldestNotesYieldToTheBoundInAll)
{
    StreamOriginLimits limits;
    limits.notes = 200;
    StreamOrigins origins(limits);
    for (int number = 0; number < 1000; ++number) {
        const auto now = at(1ms * number);
        if (number % 2 == 0)
            origins.record(now, WorkspaceId(fmt::format("workspace-{}", number)), attempt(number), oldModel);
        else
            origins.onNotes(now, { { keyOf(number), newModel, 0s } });
        EXPECT_LE(origins.size(), 200U);
    }
    EXPECT_EQ(origins.size(), 200U);
    EXPECT_FALSE(origins.find(at(1s), keyOf(799)));
    for (int number = 801; number < 1000; number += 2)
        EXPECT_TRUE(origins.find(at(1s), keyOf(number))) << number;
}

// Guards against origins that stay in the table after the last note that refers to them.
TEST(OriginTable, KeepsOnlyOriginsThatAreReferredTo)
{
    OriginTable table;
    const auto first = table.acquire(oldModel);
    EXPECT_EQ(table.acquire(oldModel), first);
    const auto second = table.acquire(newModel);
    EXPECT_NE(first, second);
    table.release(first);
    EXPECT_EQ(table.at(first), oldModel);
    table.release(first);
    EXPECT_EQ(table.size(), 1U);
    for (int number = 0; number < 1000; ++number) {
        const auto index = table.acquire({ ServiceId("model"), SoftwareVersion(std::to_string(number)) });
        EXPECT_EQ(table.at(index).version.value(), std::to_string(number));
        EXPECT_EQ(index, first);
        table.release(index);
    }
    EXPECT_EQ(table.at(second), newModel);
    EXPECT_EQ(table.size(), 1U);
}

} // namespace Ibisturn::Testing
