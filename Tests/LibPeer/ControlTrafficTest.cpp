#include "../LibDecision/StatusFleet.h"

#include <LibPeer/ControlMessages.h>

#include <algorithm>

#include <gtest/gtest.h>

namespace Ibisturn::Testing {

namespace {

using namespace std::chrono_literals;

constexpr std::size_t workspaces = 40;
constexpr std::size_t serversPerRegion = 80;
/// Backend servers on which one instance has requests at a time.
constexpr std::size_t serversInUse = 4;

/// As on a large site, where each of the regions has about a hundred instances.
constexpr std::size_t maxStreamsPerSecond = 210;
/// How long a stream is part of the reports; see StreamOriginLimits.
constexpr Duration reportWindow = 1200ms;

/// The streams that one instance of a fleet begins in this time.
Duration streamPeriodOf(std::size_t count)
{
    constexpr Duration shortest = 600ms;
    return std::max<Duration>(shortest, std::chrono::duration_cast<Duration>(1s) * static_cast<std::int64_t>(count) / static_cast<std::int64_t>(maxStreamsPerSecond));
}

/// The notes of an instance that begins a stream in each period, half of them at a new version.
std::vector<StreamNote> notesOf(std::size_t index, TimePoint now, Duration period)
{
    std::vector<StreamNote> notes;
    const auto shifted = now.time_since_epoch() - period * static_cast<std::int64_t>(index) / 10;
    for (auto number = shifted / period; shifted - number * period <= reportWindow; --number) {
        const StreamOrigin origin { ServiceId("sheet-writer"), SoftwareVersion(number % 2 == 0 ? "2026.12.1" : "2026.12.2") };
        notes.push_back({ streamKeyOf(WorkspaceId(fmt::format("workspace{}", index)), std::to_string(number)), origin, shifted - number * period });
    }
    return notes;
}

LocalStatus statusOf(std::size_t index, TimePoint /*now*/)
{
    LocalStatus status;
    for (std::size_t workspace = 0; workspace < workspaces; ++workspace)
        status.demands.push_back({ WorkspaceId(fmt::format("workspace{}", workspace)), TokensPerSecond(1234.5), TokenCount(56'789) });
    for (std::size_t server = 0; server < serversInUse; ++server)
        status.loads.push_back({ BackendServerId(fmt::format("server-{}", (index + server) % serversPerRegion)), 2, TokenCount(3000), TokenCount(3000), TokenCount(9000) });
    status.waitEstimates = { { ServiceId("model"), 60ms, 80ms, 0.02 } };
    status.store.positions = { Revision(1000), Revision(2000), Revision(3000) };
    return status;
}

enum class Streams : std::uint8_t {
    None,
    Noted,
};

struct Traffic {
    std::size_t messages { 0 };
    std::size_t bytes { 0 };
};

/// What the instances of a fleet send in one second, sorted by bytes.
std::vector<Traffic> trafficOf(std::size_t count, Streams streams = Streams::Noted)
{
    constexpr std::size_t seconds = 4;
    const auto period = streamPeriodOf(count);
    StatusFleet fleet(count, [period, streams](std::size_t index, TimePoint now) {
        auto status = statusOf(index, now);
        if (streams == Streams::Noted)
            status.notes = notesOf(index, now, period);
        return status;
    });
    fleet.run(3s);
    std::vector<Traffic> traffic(count);
    fleet.onSend = [&traffic](std::size_t from, const StatusExchange::Message& message) {
        const auto action = std::visit([](const auto& known) -> PeerAction { return known; }, message);
        ++traffic[from].messages;
        traffic[from].bytes += encodeFrame({ Incarnation(1), RequestId(0), toPeerMessage(action) }).size();
    };
    fleet.run(std::chrono::seconds(seconds));
    for (auto& sent : traffic)
        sent = { sent.messages / seconds, sent.bytes / seconds };
    std::sort(traffic.begin(), traffic.end(), [](const Traffic& left, const Traffic& right) { return left.bytes < right.bytes; });
    return traffic;
}

} // namespace

TEST(ControlTraffic, OfAnInstanceDoesNotGrowWithTheFleet)
{
    auto smaller = trafficOf(9);
    for (const std::size_t count : { 30, 100, 300 }) {
        const auto traffic = trafficOf(count);
        const auto& typical = traffic[count / 2];
        const auto& before = smaller[smaller.size() / 2];
        EXPECT_LE(typical.messages, before.messages * 3 / 2) << count;
        EXPECT_LE(typical.bytes, before.bytes * 3 / 2) << count;
        smaller = traffic;
    }
}

// A collector answers two or three reports a second of each instance of its region, whatever the size of the fleet.
TEST(ControlTraffic, OfACollectorStaysWithinAFewMegabitsPerSecond)
{
    const auto traffic = trafficOf(300);
    constexpr std::size_t instancesPerRegion = 100;
    constexpr std::size_t maxMessages = 3 * instancesPerRegion + 20;
    constexpr std::size_t maxBytes = 12'000'000 / 8;
    EXPECT_LE(traffic.back().messages, maxMessages);
    EXPECT_LE(traffic.back().bytes, maxBytes);
}

// Guards against notes of streams that are repeated until they outweigh the rest. A collector sends each of 210 notes a second to a hundred
// instances, with nine bytes for each and the origins besides.
TEST(ControlTraffic, NotesOfStreamsAddAPartOfIt)
{
    for (const std::size_t count : { 30, 90, 300 }) {
        const auto without = trafficOf(count, Streams::None);
        const auto with = trafficOf(count, Streams::Noted);
        const auto& typicalWithout = without[count / 2];
        const auto& typicalWith = with[count / 2];
        fmt::print("{} instances, bytes a second: typical {} and {} with notes, most {} and {}\n", count, typicalWithout.bytes, typicalWith.bytes, without.back().bytes, with.back().bytes);
        EXPECT_EQ(typicalWith.messages, typicalWithout.messages) << count;
        EXPECT_LE(typicalWith.bytes, typicalWithout.bytes + 1000) << count;
        EXPECT_EQ(with.back().messages, without.back().messages) << count;
        EXPECT_LE(with.back().bytes, without.back().bytes * 5 / 4) << count;
    }
}

} // namespace Ibisturn::Testing
