#include <LibDecision/Streams/VersionLedger.h>

#include <gtest/gtest.h>

namespace Ibisturn::Testing {

namespace {

using namespace std::chrono_literals;

const ServiceId model("model");
const ServiceId bookings("bookings");
const SoftwareVersion v1("v1");
const SoftwareVersion v2("v2");
using Versions = std::set<SoftwareVersion>;
using Registered = std::map<ServiceId, Versions>;

TimePoint at(Duration time)
{
    return TimePoint(1h) + time;
}

VersionRecord record(Versions listed, std::int64_t revision, Versions retiring = {})
{
    return { std::move(listed), std::move(retiring), Revision(revision) };
}

class VersionLedgerTest : public testing::Test {
protected:
    void know(Duration time, const VersionRecord& record) { ledger_.onRecord(at(time), model, record, record.revision); }

    /// Reads the records from the store at `time`.
    void read(Duration time, const std::map<ServiceId, VersionRecord>& records, Revision position)
    {
        ledger_.beginRead(at(time));
        ledger_.onRead(at(time), at(time), records, position);
    }

    std::vector<LedgerWrite> due(Duration time, const Registered& registered, std::size_t rank = 0, RegistryView view = RegistryView::Complete)
    {
        return ledger_.takeDueWrites(at(time), registered, view, rank);
    }

    /// The first time at which something is to be written, in steps of 50 ms from `from`; calls regularly, as a control plane does.
    std::optional<Duration> firstDue(Duration from, Duration to, const Registered& registered, std::size_t rank = 0, RegistryView view = RegistryView::Complete)
    {
        for (auto time = from; time <= to; time += 50ms) {
            if (!due(time, registered, rank, view).empty())
                return time;
        }
        return std::nullopt;
    }

    VersionLedger ledger_;
};

} // namespace

TEST_F(VersionLedgerTest, ListsAVersionBeforeItBeginsStreams)
{
    EXPECT_FALSE(ledger_.isListed(model, v1));
    const auto writes = due(0s, { { model, { v1, v2 } }, { bookings, { v1 } } });
    ASSERT_EQ(writes.size(), 2U);
    EXPECT_EQ(writes.back().service, model);
    EXPECT_EQ(writes.back().listed, Versions({ v1, v2 }));
    EXPECT_EQ(writes.back().expected, Revision(0));
    EXPECT_FALSE(ledger_.isListed(model, v1));
    know(50ms, record({ v1, v2 }, 7));
    ledger_.onWritten(model);
    EXPECT_TRUE(ledger_.isListed(model, v1));
    EXPECT_EQ(ledger_.listed(), (std::map<ServiceId, Versions> { { model, { v1, v2 } } }));
    EXPECT_EQ(ledger_.recordCount(), 1U);
    EXPECT_FALSE(firstDue(50ms, 60s, { { model, { v1, v2 } } }));
}

TEST_F(VersionLedgerTest, AddsAVersionByCompareAndSwap)
{
    know(0s, record({ v1 }, 7));
    const auto writes = due(0s, { { model, { v1, v2 } } });
    ASSERT_EQ(writes.size(), 1U);
    EXPECT_EQ(writes.front().listed, Versions({ v1, v2 }));
    EXPECT_EQ(writes.front().expected, Revision(7));
}

// Two writes that are under way at once would conflict, and each conflict costs a call.
TEST_F(VersionLedgerTest, WritesOneRecordAtATimeAndPausesAfterAFailure)
{
    const Registered servers { { model, { v1 } } };
    EXPECT_EQ(due(0s, servers).size(), 1U);
    EXPECT_FALSE(firstDue(50ms, 3s, servers));
    ledger_.onWriteFailed(at(3s), model);
    EXPECT_EQ(firstDue(3s, 9s, servers), 3500ms);
    know(4s, record({ v2 }, 9));
    ledger_.onWritten(model);
    const auto writes = due(4s, servers);
    ASSERT_EQ(writes.size(), 1U);
    EXPECT_EQ(writes.front().expected, Revision(9));
    EXPECT_EQ(writes.front().listed, Versions({ v1, v2 }));
}

// A first writer that can't write must not keep a new version from its first streams.
TEST_F(VersionLedgerTest, LaterWritersWaitForTheFirstOnes)
{
    const Registered servers { { model, { v1 } } };
    std::vector<Duration> delays;
    for (const std::size_t rank : { 0U, 1U, 2U, 9U, 500U, 4'000'000U }) {
        ledger_ = {};
        delays.push_back(firstDue(0s, 10s, servers, rank).value_or(1min));
    }
    EXPECT_EQ(delays, (std::vector<Duration> { 0ms, 300ms, 1000ms, 1700ms, 5000ms, 5000ms }));
}

TEST_F(VersionLedgerTest, RemovesAVersionAfterTheLifetimeOfItsStreams)
{
    know(0s, record({ v1, v2 }, 7));
    EXPECT_FALSE(firstDue(0s, 10s, { { model, { v1, v2 } } }));
    auto writes = due(10s, { { model, { v2 } } });
    EXPECT_TRUE(writes.empty());
    EXPECT_FALSE(firstDue(10s, 10s + VersionLedger::retirementDelay - 50ms, { { model, { v2 } } }));
    writes = due(10s + VersionLedger::retirementDelay, { { model, { v2 } } });
    ASSERT_EQ(writes.size(), 1U);
    EXPECT_EQ(writes.front().listed, Versions({ v2 }));
    EXPECT_EQ(writes.front().retiring, Versions({ v1 }));
    know(15s, record({ v2 }, 8, { v1 }));
    ledger_.onWritten(model);
    EXPECT_FALSE(ledger_.isListed(model, v1));
    const auto removedAt = 15s + VersionLedger::defaultLifetime + VersionLedger::settlingTime;
    EXPECT_FALSE(firstDue(15s, removedAt - 50ms, { { model, { v2 } } }));
    writes = due(removedAt, { { model, { v2 } } });
    ASSERT_EQ(writes.size(), 1U);
    EXPECT_EQ(writes.front().listed, Versions({ v2 }));
    EXPECT_TRUE(writes.front().retiring.empty());
}

// Guards against a release that is taken back: what was retiring begins streams again.
TEST_F(VersionLedgerTest, ARetiringVersionWhoseServersReturnIsListedAgain)
{
    know(0s, record({ v2 }, 8, { v1 }));
    EXPECT_FALSE(firstDue(0s, 20s, { { model, { v2 } } }));
    const auto writes = due(20s, { { model, { v1, v2 } } });
    ASSERT_EQ(writes.size(), 1U);
    EXPECT_EQ(writes.front().listed, Versions({ v1, v2 }));
    EXPECT_TRUE(writes.front().retiring.empty());
    know(20s, record({ v1, v2 }, 9));
    ledger_.onWritten(model);
    know(21s, record({ v2 }, 10, { v1 }));
    EXPECT_EQ(firstDue(21s, 60s, { { model, { v2 } } }), 21s + VersionLedger::defaultLifetime + VersionLedger::settlingTime);
}

// While the store is away, entries expire although their servers run, and nobody can write.
TEST_F(VersionLedgerTest, NoVersionIsRemovedWhileTheRegistryIsNotKnown)
{
    know(0s, record({ v2 }, 7, { v1 }));
    EXPECT_FALSE(firstDue(0s, 20s, { { model, { v2 } } }));
    EXPECT_FALSE(firstDue(20s, 60s, { { model, { v2 } } }, 0, RegistryView::Unavailable));
    EXPECT_FALSE(firstDue(60s, 90s, { { model, { v2 } } }, 0, RegistryView::Partial));
    EXPECT_EQ(firstDue(90s, 150s, { { model, { v2 } } }), 90s + VersionLedger::defaultLifetime + VersionLedger::settlingTime);
}

TEST_F(VersionLedgerTest, NothingIsWrittenWhileTheStoreIsAway)
{
    EXPECT_FALSE(firstDue(0s, 9s, { { model, { v1 } } }, 0, RegistryView::Unavailable));
    EXPECT_EQ(firstDue(9s, 20s, { { model, { v1 } } }, 0, RegistryView::Partial), 9s);
}

// The records of services that are gone must not stay for good.
TEST_F(VersionLedgerTest, TheRecordOfAServiceWithoutServersIsDeleted)
{
    know(0s, record({ v1 }, 7));
    EXPECT_TRUE(firstDue(0s, 5s, {}));
    know(5s, record({}, 8, { v1 }));
    ledger_.onWritten(model);
    for (auto time = Duration(5s); time < 60s; time += 50ms) {
        const auto writes = due(time, {});
        if (writes.empty())
            continue;
        EXPECT_TRUE(writes.front().listed.empty() && writes.front().retiring.empty());
        EXPECT_EQ(writes.front().expected, Revision(8));
        ledger_.onRecord(at(time), model, std::nullopt, Revision(9));
        ledger_.onWritten(model);
        EXPECT_EQ(ledger_.recordCount(), 0U);
        EXPECT_FALSE(firstDue(time, time + 60s, {}));
        return;
    }
    FAIL() << "not deleted";
}

TEST_F(VersionLedgerTest, ARecordHoldsABoundedNumberOfVersions)
{
    Registered servers;
    for (int index = 0; index < 200; ++index)
        servers[model].insert(SoftwareVersion("r" + std::to_string(index)));
    const auto writes = due(0s, servers);
    ASSERT_EQ(writes.size(), 1U);
    EXPECT_EQ(writes.front().listed.size(), VersionLedger::maxVersions);
    know(0s, { writes.front().listed, {}, Revision(3) });
    ledger_.onWritten(model);
    EXPECT_FALSE(firstDue(0s, 10s, servers));
}

TEST_F(VersionLedgerTest, ALateReplyDoesNotBringBackAnEarlierRecord)
{
    know(0s, record({ v1, v2 }, 7));
    know(1s, record({ v2 }, 9, { v1 }));
    know(2s, record({ v1, v2 }, 7));
    EXPECT_FALSE(ledger_.isListed(model, v1));
    ledger_.onRecord(at(3s), model, std::nullopt, Revision(12));
    know(4s, record({ v2 }, 9));
    EXPECT_TRUE(ledger_.listed().empty());
}

TEST_F(VersionLedgerTest, TheOnlyVersionIsProvedByAReadThatBeganLater)
{
    know(0s, record({ v1 }, 7));
    EXPECT_FALSE(ledger_.onlyVersion(model, at(0s)));
    read(1s, { { model, record({ v1 }, 7) } }, Revision(9));
    EXPECT_EQ(ledger_.onlyVersion(model, at(1s)), v1);
    EXPECT_FALSE(ledger_.onlyVersion(model, at(1s + 1ms)));
    EXPECT_FALSE(ledger_.onlyVersion(bookings, at(1s)));
    read(2s, { { model, record({ v2 }, 11, { v1 }) } }, Revision(12));
    EXPECT_FALSE(ledger_.onlyVersion(model, at(2s)));
    read(3s, { { model, record({}, 13, { v1 }) } }, Revision(13));
    EXPECT_EQ(ledger_.onlyVersion(model, at(3s)), v1);
    read(4s, {}, Revision(15));
    EXPECT_FALSE(ledger_.onlyVersion(model, at(4s)));
}

// Guards against a read that began before the resumption arrived, and during which another version was listed and began a stream.
TEST_F(VersionLedgerTest, AReadThatWasUnderWayProvesNothing)
{
    ledger_.requestProof(at(0s));
    ledger_.beginRead(at(0s));
    ledger_.requestProof(at(100ms));
    ledger_.onRead(at(200ms), at(0s), { { model, record({ v1 }, 7) } }, Revision(9));
    EXPECT_FALSE(ledger_.onlyVersion(model, at(100ms)));
    EXPECT_TRUE(ledger_.needsRead(at(200ms)));
}

TEST_F(VersionLedgerTest, OneReadAtATimeServesAllThatWait)
{
    EXPECT_FALSE(ledger_.needsRead(at(0s)));
    ledger_.requestProof(at(0s));
    ledger_.requestProof(at(0s));
    EXPECT_TRUE(ledger_.needsRead(at(0s)));
    ledger_.beginRead(at(0s));
    EXPECT_FALSE(ledger_.needsRead(at(10ms)));
    ledger_.onReadFailed(at(20ms));
    EXPECT_FALSE(ledger_.needsRead(at(300ms)));
    EXPECT_TRUE(ledger_.needsRead(at(320ms)));
    read(320ms, {}, Revision(9));
    EXPECT_FALSE(ledger_.needsRead(at(330ms)));
    // Many resumptions, one after another, must not cause a call each.
    ledger_.requestProof(at(340ms));
    EXPECT_FALSE(ledger_.needsRead(at(350ms)));
    EXPECT_TRUE(ledger_.needsRead(at(500ms)));
    EXPECT_FALSE(ledger_.needsRead(at(1400ms)));
}

// Decides whether the notes of streams are kept in the store, for what a single version does not prove.
TEST_F(VersionLedgerTest, RetiringVersionsCountAmongSeveral)
{
    EXPECT_FALSE(ledger_.hasSeveralVersions());
    know(0s, record({ v1 }, 7));
    EXPECT_FALSE(ledger_.hasSeveralVersions());
    know(1s, record({ v1 }, 8, { v2 }));
    EXPECT_TRUE(ledger_.hasSeveralVersions());
    know(2s, record({ v2 }, 9));
    EXPECT_FALSE(ledger_.hasSeveralVersions());
}

// Guards against an older copy that lacks a version which had begun streams.
TEST_F(VersionLedgerTest, NothingIsProvedUntilStreamsFromBeforeTheReturnHaveEnded)
{
    const auto inNextEra = [](std::int64_t number) { return Revision(number, StoreEra(1)); };
    know(0s, record({ v1, v2 }, 7));
    const VersionRecord older { { v1 }, {}, inNextEra(5) };
    ledger_.onHistoryLost(at(1s));
    ledger_.requestProof(at(2s));
    EXPECT_FALSE(ledger_.needsRead(at(2s)));
    // The notes in the store can still tell.
    EXPECT_TRUE(ledger_.isProofRequested(at(2s)));
    EXPECT_FALSE(ledger_.isProofRequested(at(4s)));
    read(2s, { { model, older } }, inNextEra(5));
    // The first record of the era reports the loss once more.
    EXPECT_FALSE(ledger_.onlyVersion(model, at(2s)));
    const auto end = 2s + VersionLedger::defaultLifetime + VersionLedger::settlingTime;
    read(end - 1ms, { { model, older } }, inNextEra(9));
    EXPECT_FALSE(ledger_.onlyVersion(model, at(end - 1ms)));
    read(end, { { model, older } }, inNextEra(9));
    EXPECT_EQ(ledger_.onlyVersion(model, at(end)), v1);
}

// A peer may tell of the new era before this instance's own call to the store does.
TEST_F(VersionLedgerTest, ARecordOfALaterEraTellsThatHistoryWasLost)
{
    read(0s, { { model, record({ v1, v2 }, 7) } }, Revision(9));
    know(100ms, { { v1 }, {}, Revision(5, StoreEra(1)) });
    EXPECT_FALSE(ledger_.onlyVersion(model, at(0s)));
    EXPECT_FALSE(ledger_.isListed(model, v2));
}

// A record that can't be read may have had any versions.
TEST_F(VersionLedgerTest, TheUnknownVersionIsNeverProved)
{
    const SoftwareVersion unknown;
    read(0s, { { model, record({}, 7, { unknown }) } }, Revision(9));
    EXPECT_FALSE(ledger_.onlyVersion(model, at(0s)));
    const auto writes = due(0s, { { model, { v2 } } });
    ASSERT_EQ(writes.size(), 1U);
    EXPECT_EQ(writes.front().listed, Versions({ v2 }));
    EXPECT_EQ(writes.front().retiring, Versions({ unknown }));
}

TEST_F(VersionLedgerTest, AShorterLifetimeAppliesOnceEarlierStreamsHaveEnded)
{
    ledger_.setLifetime(at(0s), 60s);
    ledger_.setLifetime(at(1s), 10s);
    know(2s, record({ v2 }, 7, { v1 }));
    EXPECT_EQ(firstDue(2s, 100s, { { model, { v2 } } }), 61s);
    know(101s, record({ v2 }, 8, { v1 }));
    ledger_.onWritten(model);
    EXPECT_EQ(firstDue(101s, 200s, { { model, { v2 } } }), 101s + 10s + VersionLedger::settlingTime);
}

} // namespace Ibisturn::Testing
