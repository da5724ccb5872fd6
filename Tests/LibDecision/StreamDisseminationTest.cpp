#include "StatusFleet.h"

#include <LibDecision/Streams/StreamOrigins.h>

#include <random>

#include <gtest/gtest.h>

namespace Ibisturn::Testing {

namespace {

using namespace std::chrono_literals;

const WorkspaceId school("school");
const StreamOrigin oldModel { ServiceId("model"), SoftwareVersion("1.4") };
const StreamOrigin newModel { ServiceId("model"), SoftwareVersion("1.5") };

/// A fleet whose instances tell each other the origins of their streams.
class StreamFleet {
public:
    explicit StreamFleet(std::size_t count)
        : origins(count)
        , fleet(count, [this](std::size_t index, TimePoint now) { return statusOf(index, now); })
        , startedAt_(count)
    {
    }

    void run(Duration length)
    {
        for (const auto end = fleet.now() + length; fleet.now() < end;) {
            fleet.advance();
            for (std::size_t index = 0; index < origins.size(); ++index) {
                if (!fleet.isFrozen(index))
                    origins[index].onNotes(fleet.now(), fleet.at(index).takeNotes(fleet.now()));
            }
        }
    }

    void record(std::size_t index, std::string_view attempt, const StreamOrigin& origin = oldModel) { origins[index].record(fleet.now(), school, attempt, origin); }

    /// The running instances that do not know a stream's origin.
    std::vector<std::size_t> instancesWithout(std::string_view attempt, const StreamOrigin& origin = oldModel) const
    {
        std::vector<std::size_t> indexes;
        for (std::size_t index = 0; index < origins.size(); ++index) {
            if (!fleet.isFrozen(index) && origins[index].find(fleet.now(), streamKeyOf(school, attempt)) != origin)
                indexes.push_back(index);
        }
        return indexes;
    }

    void restart(std::size_t index)
    {
        startedAt_[index] = fleet.now();
        origins[index] = StreamOrigins();
        fleet.restart(index);
    }

    std::vector<StreamOrigins> origins;
    StatusFleet fleet;

private:
    LocalStatus statusOf(std::size_t index, TimePoint now) const
    {
        LocalStatus status;
        status.uptime = now - startedAt_[index];
        status.notes = origins[index].recentNotes(now);
        return status;
    }

    std::vector<TimePoint> startedAt_;
};

const std::vector<std::size_t> nobody;

/// How often notes are sent, by kind of message.
struct Sent {
    std::size_t inReports { 0 };
    std::size_t inDigests { 0 };
    std::size_t inExchanges { 0 };
};

Sent& operator+=(Sent& sent, const StatusExchange::Message& message)
{
    if (const auto* report = std::get_if<SendReport>(&message))
        sent.inReports += report->report.notes.size();
    else if (const auto* digest = std::get_if<SendDigest>(&message))
        sent.inDigests += digest->digest.notes.size();
    else
        sent.inExchanges += std::get<SendExchange>(message).exchange.notes.size();
    return sent;
}

InstanceReport reportWith(std::vector<StreamNote> notes)
{
    InstanceReport report;
    report.incarnation = Incarnation(100);
    report.number = StatusNumber(1);
    report.notes = std::move(notes);
    return report;
}

} // namespace

// Guards against resumptions that are refused at another instance than the one that began the stream.
TEST(StreamDissemination, EveryInstanceLearnsOfAStream)
{
    for (const std::size_t count : { 1, 2, 3, 9, 30, 120 }) {
        StreamFleet streams(count);
        streams.run(3s);
        for (std::size_t index = 0; index < count; ++index)
            streams.record(index, fmt::format("at-{}", index), index % 2 == 0 ? oldModel : newModel);
        streams.run(1500ms);
        for (std::size_t index = 0; index < count; ++index)
            EXPECT_EQ(streams.instancesWithout(fmt::format("at-{}", index), index % 2 == 0 ? oldModel : newModel), nobody) << index << " of " << count;
    }
}

// A resumption waits for evidence for a second at most.
TEST(StreamDissemination, TheRegionLearnsOfAStreamWithinASecond)
{
    StreamFleet streams(90);
    streams.run(3s);
    streams.record(3, "attempt");
    streams.run(1s);
    for (const auto index : streams.instancesWithout("attempt"))
        EXPECT_NE(index % StatusFleet::regionCount, 0U) << index;
}

// Guards against knowledge that ends with the instance that has it first-hand.
TEST(StreamDissemination, OthersKnowTheStreamsOfAKilledInstance)
{
    StreamFleet streams(30);
    streams.run(3s);
    streams.record(3, "attempt");
    streams.run(500ms);
    streams.fleet.freeze(3, 1h);
    streams.run(2s);
    EXPECT_EQ(streams.instancesWithout("attempt"), nobody);
    streams.run(15s);
    EXPECT_EQ(streams.instancesWithout("attempt"), nobody);
}

TEST(StreamDissemination, OneCollectorIsEnough)
{
    StreamFleet streams(60);
    streams.run(3s);
    const auto collectors = streams.fleet.collectors();
    streams.fleet.freeze(collectors[0], 1h);
    streams.record(collectors[5], "attempt");
    streams.run(2s);
    EXPECT_EQ(streams.instancesWithout("attempt"), nobody);
}

// Guards against an instance that reaches one collector, and is reached by others through the other one only.
TEST(StreamDissemination, CollectorsPassOnWhatOnlyOneOfThemGets)
{
    StreamFleet streams(30);
    streams.run(3s);
    const auto collectors = streams.fleet.collectors();
    const auto from = collectors[4];
    const auto to = collectors[5];
    streams.fleet.cut(from, collectors[0], 1h);
    streams.fleet.cut(collectors[1], to, 1h);
    streams.record(from, "attempt");
    streams.run(3s);
    EXPECT_EQ(streams.instancesWithout("attempt"), nobody);
}

// Both collectors die when they have the note but have not passed it on; the instance still reports it to their successors.
TEST(StreamDissemination, LosingBothCollectorsLosesNoNote)
{
    StreamFleet streams(60);
    streams.run(3s);
    const auto collectors = streams.fleet.collectors();
    streams.fleet.freeze(collectors[0], 1h);
    streams.fleet.freeze(collectors[1], 1h);
    streams.record(collectors[5], "attempt");
    streams.run(4s);
    EXPECT_EQ(streams.instancesWithout("attempt"), nobody);
}

// The notes that were sent during a cut are sent again after it, since they were not confirmed.
TEST(StreamDissemination, AnInstanceThatWasCutOffCatchesUp)
{
    StreamFleet streams(30);
    streams.run(3s);
    const auto member = streams.fleet.collectors().back();
    for (std::size_t index = 0; index < 30; ++index)
        streams.fleet.cut(index, member, 4s);
    streams.run(500ms);
    streams.record(1, "attempt");
    streams.run(3s);
    EXPECT_EQ(streams.instancesWithout("attempt"), std::vector<std::size_t> { member });
    streams.run(4s);
    EXPECT_EQ(streams.instancesWithout("attempt"), nobody);
}

TEST(StreamDissemination, RegionsThatWereCutOffCatchUp)
{
    StreamFleet streams(30);
    streams.run(3s);
    for (std::size_t one = 0; one < 30; ++one) {
        for (std::size_t other = 0; other < 30; ++other) {
            if ((one % 3 == 0) != (other % 3 == 0))
                streams.fleet.cut(one, other, 4s);
        }
    }
    streams.run(500ms);
    streams.record(0, "here");
    streams.record(1, "there");
    streams.run(3s);
    EXPECT_EQ(streams.instancesWithout("here").size(), 20U);
    EXPECT_EQ(streams.instancesWithout("there").size(), 10U);
    streams.run(4s);
    EXPECT_EQ(streams.instancesWithout("here"), nobody);
    EXPECT_EQ(streams.instancesWithout("there"), nobody);
}

// Guards against an instance that refuses all resumptions for some time after it was restarted.
TEST(StreamDissemination, ARestartedInstanceLearnsOfStreamsOfBefore)
{
    for (const std::size_t position : { 0, 1, 7 }) {
        StreamFleet streams(30);
        streams.run(3s);
        const auto index = streams.fleet.collectors()[position];
        streams.record(index, "own");
        streams.record(1, "other");
        streams.run(4s);
        streams.restart(index);
        streams.run(1s);
        EXPECT_EQ(streams.instancesWithout("own"), nobody) << position;
        EXPECT_EQ(streams.instancesWithout("other"), nobody) << position;
    }
}

TEST(StreamDissemination, ContradictionsReachEveryInstance)
{
    StreamFleet streams(30);
    streams.run(3s);
    streams.record(1, "attempt", oldModel);
    streams.run(3s);
    streams.record(2, "attempt", newModel);
    streams.run(3s);
    EXPECT_EQ(streams.instancesWithout("attempt", oldModel).size(), 30U);
    EXPECT_EQ(streams.instancesWithout("attempt", newModel).size(), 30U);
}

// Guards against a note that a lost report or digest loses for some instance.
TEST(StreamDissemination, LostMessagesLoseNoNote)
{
    for (unsigned seed = 1; seed <= 40; ++seed) {
        std::mt19937 random(seed);
        StreamFleet streams(18);
        streams.run(2s);
        streams.fleet.isLost = [&random](std::size_t /*from*/, std::size_t /*to*/) { return random() % 4 == 0; };
        std::vector<std::string> attempts;
        for (int step = 0; step < 20; ++step) {
            attempts.push_back(fmt::format("attempt-{}", step));
            streams.record(random() % 18, attempts.back());
            streams.run(std::chrono::milliseconds(random() % 100));
        }
        streams.run(3s);
        for (const auto& attempt : attempts)
            EXPECT_EQ(streams.instancesWithout(attempt), nobody) << attempt << " of seed " << seed;
    }
}

// Guards against digests that repeat all notes of the last moments. Each of the 29 others of the region gets a note from both collectors, and
// the collectors of two regions exchange it in four pairs.
TEST(StreamDissemination, EachCollectorSendsANoteOnceToEachReceiver)
{
    constexpr std::size_t regionSize = 30;
    constexpr std::size_t regions = StatusFleet::regionCount;
    StreamFleet streams(regionSize * regions);
    streams.run(3s);
    Sent sent;
    streams.fleet.onSend = [&sent](std::size_t /*from*/, const StatusExchange::Message& message) { sent += message; };
    constexpr std::size_t notes = 30;
    for (std::size_t number = 0; number < notes; ++number) {
        streams.record(number * 3, fmt::format("attempt-{}", number));
        streams.run(50ms);
    }
    streams.run(5s);
    EXPECT_EQ(streams.instancesWithout("attempt-0"), nobody);
    EXPECT_LE(sent.inDigests, notes * regions * regionSize * 2);
    constexpr std::size_t pairs = 2 * 2 * (regions - 1);
    EXPECT_LE(sent.inExchanges, notes * pairs * 3 / 2);
}

// An earlier version does not say what it has, and would get all notes each time.
TEST(StreamDissemination, AReportOfAnEarlierVersionIsAnsweredWithoutNotes)
{
    StatusFleet fleet(9, [](std::size_t /*index*/, TimePoint /*now*/) { return LocalStatus(); });
    auto& exchange = fleet.at(0);
    const auto notesIn = [&](std::optional<StatusNumber> confirmed, std::uint64_t number) {
        auto report = reportWith({ { StreamKey(number), oldModel, 0s } });
        report.number = StatusNumber(number);
        report.confirmedDigest = confirmed;
        const auto answers = exchange.onReport(fleet.now(), StatusFleet::idOf(3), report);
        return std::get<SendDigest>(answers->front()).digest.notes.size();
    };
    EXPECT_EQ(notesIn(std::nullopt, 1), 0U);
    EXPECT_EQ(notesIn(StatusNumber(0), 2), 2U);
    EXPECT_EQ(exchange.takeNotes(fleet.now()).size(), 2U);
    EXPECT_TRUE(exchange.takeNotes(fleet.now()).empty());
}

// Guards against origins that no server has, ages that overflow, and messages that fill the memory.
TEST(StreamDissemination, RefusesImpossibleNotes)
{
    const auto isAccepted = [](const std::vector<StreamNote>& notes) {
        StatusFleet fleet(9, [](std::size_t /*index*/, TimePoint /*now*/) { return LocalStatus(); });
        fleet.run(50ms);
        FleetDigest digest;
        digest.report = StatusNumber(1);
        digest.own.region = StatusFleet::regionOf(0);
        digest.notes = notes;
        const bool isDigest = fleet.at(0).onDigest(fleet.now(), StatusFleet::idOf(3), digest).has_value();
        const bool isReport = fleet.at(0).onReport(fleet.now(), StatusFleet::idOf(6), reportWith(notes)).has_value();
        RegionExchange exchange;
        exchange.incarnation = Incarnation(100);
        exchange.number = StatusNumber(1);
        exchange.digest.region = StatusFleet::regionOf(1);
        exchange.notes = notes;
        const bool isExchange = fleet.at(0).onExchange(fleet.now(), StatusFleet::idOf(1), exchange).has_value();
        EXPECT_EQ(isReport, isExchange);
        EXPECT_EQ(isReport, isDigest);
        return isReport;
    };
    EXPECT_TRUE(isAccepted({ { StreamKey(1), oldModel, 0s } }));
    EXPECT_FALSE(isAccepted({ { StreamKey(1), oldModel, -1ns } }));
    EXPECT_FALSE(isAccepted({ { StreamKey(1), oldModel, Duration::min() } }));
    EXPECT_FALSE(isAccepted({ { StreamKey(1), oldModel, Duration::max() } }));
    EXPECT_FALSE(isAccepted({ { StreamKey(1), oldModel, 0s }, { StreamKey(2), { ServiceId(), SoftwareVersion("1.4") }, 0s } }));
    EXPECT_FALSE(isAccepted({ { StreamKey(1), { ServiceId("model"), SoftwareVersion() }, 0s } }));
    EXPECT_FALSE(isAccepted({ { StreamKey(1), { ServiceId("model"), SoftwareVersion(std::string(2000, 'v')) }, 0s } }));
    EXPECT_FALSE(isAccepted(std::vector<StreamNote>(20'000, { StreamKey(1), oldModel, 0s })));
}

TEST(StreamNoteLog, KeepsABoundedNumberOfNotesForABoundedTime)
{
    StreamNoteLog log;
    const TimePoint start(1h);
    for (std::uint64_t number = 0; number < 2 * StreamNoteLog::maxNotes; ++number)
        log.add(start, { { StreamKey(number), oldModel, 0s } }, NoteSource::OwnRegion);
    EXPECT_EQ(log.notesFrom(start, 0).size(), StreamNoteLog::maxNotes);
    EXPECT_EQ(log.notesFrom(start, 0).back().key, StreamKey(2 * StreamNoteLog::maxNotes - 1));
    EXPECT_TRUE(log.notesFrom(start + StreamNoteLog::maxAge, 0).empty());
    log.add(start, { { StreamKey(7), oldModel, StreamNoteLog::maxAge } }, NoteSource::OwnRegion);
    EXPECT_EQ(log.end(), 2 * StreamNoteLog::maxNotes);
    log.add(start + StreamNoteLog::maxAge, { { StreamKey(7), oldModel, 1s } }, NoteSource::OwnRegion);
    const auto notes = log.notesFrom(start + StreamNoteLog::maxAge + 1s, 0);
    ASSERT_EQ(notes.size(), 1U);
    EXPECT_EQ(notes.front().age, 2s);
}

TEST(StreamNoteLog, ANoteIsNewOnceAndAgainWhenItWasNotedAgain)
{
    StreamNoteLog log;
    const TimePoint start(1h);
    log.add(start, { { StreamKey(1), oldModel, 0s } }, NoteSource::Collector);
    EXPECT_EQ(log.takeNew(start).size(), 1U);
    log.add(start + 500ms, { { StreamKey(1), oldModel, 400ms } }, NoteSource::Collector);
    EXPECT_TRUE(log.takeNew(start).empty());
    // Other regions have to get it from here, too.
    EXPECT_TRUE(log.regionNotesFrom(start, 0).empty());
    log.add(start + 500ms, { { StreamKey(1), oldModel, 500ms } }, NoteSource::OwnRegion);
    EXPECT_EQ(log.regionNotesFrom(start + 500ms, 0).size(), 1U);
    log.takeNew(start);
    log.add(start + 500ms, { { StreamKey(1), newModel, 500ms } }, NoteSource::Collector);
    log.add(start + 3s, { { StreamKey(1), oldModel, 0s } }, NoteSource::Collector);
    const auto notes = log.takeNew(start + 3s);
    ASSERT_EQ(notes.size(), 2U);
    EXPECT_EQ(notes.front().origin, newModel);
    EXPECT_EQ(notes.back().origin, oldModel);
}

} // namespace Ibisturn::Testing
