#include <LibDecision/Placement/PlacementTable.h>

#include <deque>
#include <map>
#include <tuple>
#include <vector>

#include <gtest/gtest.h>

namespace Ibisturn::Testing {

namespace {

using namespace std::chrono_literals;

const RegionId ownRegion("khomas");
const RegionId otherRegion("omaheke");
const ServiceId model("model");
const ServiceId bookings("bookings");

TimePoint at(Duration time)
{
    return TimePoint(1h) + time;
}

Snapshot services()
{
    Service engines;
    engines.id = model;
    engines.coldRate = 4;
    engines.coldPeriod = 3s;
    engines.maxConnections = 90;
    engines.engine = EngineTraits { 8, TokenCount(100'000), 4 };
    Service plain;
    plain.id = bookings;
    return { Revision(1), { { "services", "model", Revision(1), engines }, { "services", "bookings", Revision(1), plain } } };
}

BackendState state(const std::string& id, const ServiceId& service, const RegionId& region)
{
    BackendState state;
    state.server.id = BackendServerId(id);
    state.server.service = service;
    state.server.endpoint = { "10.0.0.1", static_cast<std::uint16_t>(8000 + id.back()) };
    state.server.region = region;
    state.server.dataCentre = DataCentreId(region.value() + "-a");
    state.server.slots = 8;
    return state;
}

PlacementQuery makeQuery(const ServiceId& service = model)
{
    PlacementQuery query;
    query.service = service;
    query.promptTokens = TokenCount(2000);
    query.maxAnswerTokens = TokenCount(100);
    query.target = at(1s);
    query.deadline = at(10s);
    return query;
}

std::string serverOf(const PlacementDecision& decision)
{
    const auto* placed = std::get_if<PlaceOnServer>(&decision);
    return placed ? placed->server.value() : std::string();
}

class PlacementTableTest : public testing::Test {
protected:
    PlacementTableTest()
    {
        table_.setInstances(InstanceId("i1"), { InstanceId("i1") });
        table_.setServers(servers_, services());
    }

    std::vector<BackendState> servers_ { state("a", model, ownRegion), state("b", model, ownRegion), state("c", model, otherRegion), state("p", bookings, ownRegion) };
    PlacementTable table_ { ownRegion };
};

} // namespace

TEST_F(PlacementTableTest, DistributesIdenticalRequests)
{
    std::map<std::string, int> counts;
    for (int index = 0; index < 10; ++index) {
        const auto server = serverOf(table_.place(at(0s), makeQuery()));
        ++counts[server];
        table_.begin(at(0s), BackendServerId(server), makeQuery());
    }
    EXPECT_EQ(counts["a"], 5);
    EXPECT_EQ(counts["b"], 5);
}

TEST_F(PlacementTableTest, KeepsASessionOnTheServerThatCachesItsPrompt)
{
    auto session = makeQuery();
    session.promptTokens = TokenCount(9000);
    session.prompt = { { 1, TokenCount(500) }, { 2, TokenCount(6000) }, { 3, TokenCount(2500) } };
    const auto first = serverOf(table_.place(at(0s), session));
    table_.end(at(1s), table_.begin(at(0s), BackendServerId(first), session), PlacementOutcome::Answered);
    for (int index = 0; index < 5; ++index) {
        session.prompt.back().id = 100 + static_cast<std::uint64_t>(index);
        EXPECT_EQ(serverOf(table_.place(at(1s), session)), first);
    }
}

TEST_F(PlacementTableTest, AvoidsASessionsServerWithALongBacklog)
{
    auto session = makeQuery();
    session.promptTokens = TokenCount(9000);
    session.prompt = { { 1, TokenCount(500) }, { 2, TokenCount(6000) }, { 3, TokenCount(2500) } };
    const auto first = serverOf(table_.place(at(0s), session));
    table_.begin(at(0s), BackendServerId(first), session);
    table_.setOtherLoads(at(0s), { { BackendServerId(first), 5, TokenCount(60'000), TokenCount(60'000), TokenCount(60'000) } });
    EXPECT_NE(serverOf(table_.place(at(0s), session)), first);
}

TEST_F(PlacementTableTest, UrgentRequestsDoNotWaitForOthers)
{
    table_.setOtherLoads(at(0s), { { BackendServerId("a"), 5, TokenCount(0), TokenCount(70'000), TokenCount(70'000) }, { BackendServerId("b"), 5, TokenCount(0), TokenCount(70'000), TokenCount(70'000) } });
    auto ordinary = makeQuery();
    ordinary.priority = 1;
    ordinary.canLeaveRegion = false;
    ordinary.target = at(300ms);
    EXPECT_EQ(std::get<RefusePlacement>(table_.place(at(0s), ordinary)).code, ResultCode::DeadlineUnreachable);
    auto urgent = ordinary;
    urgent.priority = 0;
    EXPECT_FALSE(serverOf(table_.place(at(0s), urgent)).empty());
}

// A truncated stream must be resumed even though the target time of its first part has passed.
TEST_F(PlacementTableTest, LimitsARequestThatWasPlacedOnlyByItsDeadline)
{
    table_.setOtherLoads(at(0s), { { BackendServerId("a"), 5, TokenCount(20'000), TokenCount(20'000), TokenCount(0) }, { BackendServerId("b"), 5, TokenCount(20'000), TokenCount(20'000), TokenCount(0) } });
    auto request = makeQuery();
    request.canLeaveRegion = false;
    request.target = at(-1s);
    EXPECT_TRUE(std::holds_alternative<RefusePlacement>(table_.place(at(0s), request)));
    request.wasPlaced = true;
    EXPECT_FALSE(serverOf(table_.place(at(0s), request)).empty());
    request.deadline = at(10ms);
    EXPECT_TRUE(std::holds_alternative<RefusePlacement>(table_.place(at(0s), request)));
}

TEST_F(PlacementTableTest, RefusalContainsARetryDelay)
{
    table_.setOtherLoads(at(0s), { { BackendServerId("a"), 5, TokenCount(200'000), TokenCount(200'000), TokenCount(0) }, { BackendServerId("b"), 5, TokenCount(200'000), TokenCount(200'000), TokenCount(0) } });
    auto request = makeQuery();
    request.canLeaveRegion = false;
    const auto decision = table_.place(at(0s), request);
    EXPECT_GT(std::get<RefusePlacement>(decision).retryAfter, 1s);
}

TEST_F(PlacementTableTest, ChoosesAnotherRegionIfItIsFaster)
{
    table_.onWaitEstimates(at(0s), otherRegion, { { model, 60ms, 60ms, 0.015 } });
    EXPECT_FALSE(serverOf(table_.place(at(0s), makeQuery())).empty());
    table_.setOtherLoads(at(0s), { { BackendServerId("a"), 5, TokenCount(60'000), TokenCount(60'000), TokenCount(0) }, { BackendServerId("b"), 5, TokenCount(60'000), TokenCount(60'000), TokenCount(0) } });
    const auto decision = table_.place(at(0s), makeQuery());
    ASSERT_TRUE(std::holds_alternative<PlaceInRegion>(decision));
    EXPECT_EQ(std::get<PlaceInRegion>(decision).region, otherRegion);
}

TEST_F(PlacementTableTest, StaysWithinTheHomeRegions)
{
    auto request = makeQuery();
    request.homeRegions = std::vector<RegionId> { otherRegion };
    EXPECT_TRUE(std::holds_alternative<PlaceInRegion>(table_.place(at(0s), request)));
    request.canLeaveRegion = false;
    EXPECT_EQ(std::get<RefusePlacement>(table_.place(at(0s), request)).code, ResultCode::NoBackendServer);
    request.homeRegions = std::vector<RegionId> { ownRegion };
    request.canLeaveRegion = true;
    request.failedServers = { BackendServerId("a"), BackendServerId("b") };
    EXPECT_TRUE(std::holds_alternative<RefusePlacement>(table_.place(at(0s), request)));
}

TEST_F(PlacementTableTest, ExcludesAnUnreachableServerDuringBackoff)
{
    const auto id = table_.begin(at(0s), BackendServerId("a"), makeQuery());
    table_.end(at(0s), id, PlacementOutcome::Unreachable);
    for (int index = 0; index < 4; ++index)
        EXPECT_EQ(serverOf(table_.place(at(10ms), makeQuery())), "b");
    table_.begin(at(5s), BackendServerId("b"), makeQuery());
    EXPECT_EQ(serverOf(table_.place(at(5s), makeQuery())), "a");
}

TEST_F(PlacementTableTest, RetriesAnAnsweredFailureLocallyBeforeAnotherRegion)
{
    table_.onWaitEstimates(at(0s), otherRegion, { { bookings, 20ms, 20ms, 0 } });
    auto request = makeQuery(bookings);
    request.failedServers = { BackendServerId("p") };
    EXPECT_TRUE(serverOf(table_.place(at(0s), request)).empty());
    request.canRetryFailedServers = true;
    EXPECT_EQ(serverOf(table_.place(at(0s), request)), "p");
    auto engines = makeQuery();
    engines.failedServers = { BackendServerId("a") };
    engines.canRetryFailedServers = true;
    EXPECT_EQ(serverOf(table_.place(at(0s), engines)), "b");
}

TEST_F(PlacementTableTest, ExcludesAReplacedServerUntilItRegistersAgain)
{
    auto request = makeQuery();
    request.canLeaveRegion = false;
    request.target = at(5s);
    table_.end(at(0s), table_.begin(at(0s), BackendServerId("a"), request), PlacementOutcome::Replaced);
    for (int index = 0; index < 10; ++index) {
        EXPECT_EQ(serverOf(table_.place(at(3s), request)), "b");
        table_.begin(at(3s), BackendServerId("b"), request);
    }
    servers_[0].server.endpoint.port = 9999;
    table_.setServers(servers_, services());
    EXPECT_EQ(serverOf(table_.place(at(3s), request)), "a");
}

// A backend server that hangs without closing its connections keeps its requests pending; new requests must avoid it before
// any connection fails.
TEST_F(PlacementTableTest, AvoidsAHangingServerBeforeItsRequestsFail)
{
    for (int index = 0; index < 3; ++index)
        table_.begin(at(0s), BackendServerId("a"), makeQuery());
    for (int index = 0; index < 4; ++index)
        table_.begin(at(0s), BackendServerId("b"), makeQuery());
    EXPECT_EQ(serverOf(table_.place(at(100ms), makeQuery())), "a");
    for (int index = 0; index < 4; ++index)
        table_.onFirstPart(at(300ms), PlacementId(4U + static_cast<unsigned>(index)));
    auto later = makeQuery();
    later.canLeaveRegion = false;
    later.target = at(3s);
    for (int index = 0; index < 4; ++index) {
        EXPECT_EQ(serverOf(table_.place(at(900ms), later)), "b");
        table_.begin(at(900ms), BackendServerId("b"), later);
    }
}

TEST_F(PlacementTableTest, KeepsAServerAfterASingleFailure)
{
    const auto id = table_.begin(at(0s), BackendServerId("a"), makeQuery());
    table_.end(at(0s), id, PlacementOutcome::Failed);
    table_.begin(at(0s), BackendServerId("b"), makeQuery());
    EXPECT_EQ(serverOf(table_.place(at(1ms), makeQuery())), "a");
}

TEST_F(PlacementTableTest, ColdServerGetsNothingFromInstancesThatDoNotHoldIt)
{
    servers_[0].coldUntil = at(10s);
    servers_.erase(servers_.begin() + 1);
    table_.setServers(servers_, services());
    EXPECT_EQ(table_.coldServers(at(0s)), std::vector { BackendServerId("a") });
    auto request = makeQuery();
    request.canLeaveRegion = false;
    const auto choices = [&](Duration from, Duration until) {
        std::size_t count = 0;
        for (auto time = from; time < until; time += 10ms)
            count += serverOf(table_.place(at(time), request)).empty() ? 0 : 1;
        return count;
    };
    EXPECT_EQ(choices(0s, 1s), 0U);
    table_.setColdServersHeld({ { BackendServerId("a"), at(3s) } });
    EXPECT_EQ(choices(1s, 3s), 8U);
    EXPECT_EQ(choices(3s, 5s), 0U);
}

// While a server can't be reached, connections to it wait and are then ready at once.
TEST_F(PlacementTableTest, ColdServerGetsItsRateAlthoughConnectionsAreReadyTogether)
{
    servers_[0].coldUntil = at(10s);
    table_.setServers(servers_, services());
    const BackendServerId cold("a");
    EXPECT_FALSE(table_.confirmSend(at(0s), cold));
    table_.setColdServersHeld({ { cold, at(5s) } });
    std::size_t sent = 0;
    for (int index = 0; index < 20; ++index)
        sent += table_.confirmSend(at(1s), cold) ? 1 : 0;
    EXPECT_EQ(sent, 4U);
    EXPECT_FALSE(table_.confirmSend(at(1900ms), cold));
    EXPECT_TRUE(table_.confirmSend(at(2s), cold));
    EXPECT_FALSE(table_.confirmSend(at(6s), cold));
    EXPECT_TRUE(table_.confirmSend(at(10s), cold));
    EXPECT_TRUE(table_.confirmSend(at(0s), BackendServerId("b")));
    EXPECT_FALSE(table_.confirmSend(at(0s), BackendServerId("unknown")));
}

TEST_F(PlacementTableTest, ServerThatAnnouncesItsLeavingGetsNothingMore)
{
    servers_.erase(servers_.begin() + 1);
    table_.setServers(servers_, services());
    auto request = makeQuery();
    request.canLeaveRegion = false;
    EXPECT_TRUE(table_.onServerLeaving(at(0s), BackendServerId("a")));
    EXPECT_FALSE(table_.onServerLeaving(at(0s), BackendServerId("a")));
    EXPECT_EQ(serverOf(table_.place(at(1s), request)), "");
    EXPECT_FALSE(table_.confirmSend(at(1s), BackendServerId("a")));
    // An evacuation takes it off the list for some time.
    table_.setServers({}, services());
    table_.setServers(servers_, services());
    EXPECT_FALSE(table_.confirmSend(at(2s), BackendServerId("a")));
    servers_[0].server.started = StartTime(77);
    table_.setServers(servers_, services());
    EXPECT_EQ(serverOf(table_.place(at(3s), request)), "a");
}

TEST_F(PlacementTableTest, ServerThatAsksForAPauseGetsNothingUntilItsEnd)
{
    servers_.erase(servers_.begin() + 1);
    table_.setServers(servers_, services());
    auto request = makeQuery();
    request.canLeaveRegion = false;
    table_.onRetryAfter(at(0s), BackendServerId("a"), 2s);
    table_.onRetryAfter(at(100ms), BackendServerId("a"), 500ms);
    const auto decision = table_.place(at(1s), request);
    ASSERT_TRUE(std::holds_alternative<RefusePlacement>(decision));
    EXPECT_GE(std::get<RefusePlacement>(decision).retryAfter, 1s);
    EXPECT_FALSE(table_.confirmSend(at(1900ms), BackendServerId("a")));
    EXPECT_EQ(serverOf(table_.place(at(2s), request)), "a");
    EXPECT_TRUE(table_.confirmSend(at(2s), BackendServerId("a")));
}

TEST_F(PlacementTableTest, NewIncarnationOfAServerHasNoRequestsInFlight)
{
    const auto id = table_.begin(at(0s), BackendServerId("a"), makeQuery());
    servers_[0].server.started = StartTime(99);
    table_.setServers(servers_, services());
    EXPECT_TRUE(table_.ownLoads().empty());
    table_.onFirstPart(at(1s), id);
    table_.end(at(1s), id, PlacementOutcome::Answered);
    EXPECT_TRUE(table_.ownLoads().empty());
}

TEST_F(PlacementTableTest, DividesConnectionsAmongInstances)
{
    table_.setInstances(InstanceId("i1"), { InstanceId("i1"), InstanceId("i2"), InstanceId("i3") });
    EXPECT_EQ(table_.maxConnections(BackendServerId("a")), 27U);
}

TEST(PromptCacheEstimate, CountsLeadingPartsAndDropsTheLeastRecentlyUsed)
{
    PromptCacheEstimate cache(TokenCount(100));
    cache.record({ { 1, TokenCount(40) }, { 2, TokenCount(40) } });
    EXPECT_EQ(cache.cachedTokens({ { 1, TokenCount(40) }, { 2, TokenCount(40) }, { 3, TokenCount(5) } }), TokenCount(80));
    EXPECT_EQ(cache.cachedTokens({ { 3, TokenCount(5) }, { 1, TokenCount(40) } }), TokenCount(0));
    cache.record({ { 1, TokenCount(40) }, { 4, TokenCount(50) } });
    EXPECT_EQ(cache.cachedTokens({ { 1, TokenCount(40) }, { 2, TokenCount(40) } }), TokenCount(40));
}

// The wait in another region that has no backlog is the round trip and the engine's own time.
TEST_F(PlacementTableTest, UsesTheMeasuredRoundTripToARegion)
{
    auto request = makeQuery();
    request.homeRegions = std::vector<RegionId> { otherRegion };
    request.promptTokens = TokenCount(0);
    table_.onWaitEstimates(at(0s), otherRegion, { { model, 60ms, 60ms, 0.015 } });
    const auto expectedAt = [&](Duration time) {
        request.target = at(time) + 10s;
        request.deadline = at(time) + 20s;
        return std::get<PlaceInRegion>(table_.place(at(time), request)).expected;
    };
    EXPECT_EQ(expectedAt(0s), 190ms);
    for (int index = 0; index < 100; ++index)
        table_.onRoundTrip(at(0s), otherRegion, 30ms);
    EXPECT_LT(expectedAt(0s), 91ms);
    // Absurd samples have a bounded effect, and a measurement expires.
    for (int index = 0; index < 100; ++index)
        table_.onRoundTrip(at(0s), otherRegion, 1h);
    EXPECT_LT(expectedAt(0s), 1101ms);
    table_.onWaitEstimates(at(10min), otherRegion, { { model, 60ms, 60ms, 0.015 } });
    EXPECT_EQ(expectedAt(10min), 190ms);
}

TEST_F(PlacementTableTest, MeasuresTheTimeOfAPlainService)
{
    auto request = makeQuery(bookings);
    request.promptTokens = TokenCount(0);
    const auto expected = [&] { return std::get<PlaceOnServer>(table_.place(at(0s), request)).expected; };
    EXPECT_EQ(expected(), 20ms);
    for (int index = 0; index < 200; ++index) {
        const auto id = table_.begin(at(0s), BackendServerId("p"), request);
        table_.onFirstPart(at(60ms), id);
        table_.end(at(60ms), id, PlacementOutcome::Answered);
    }
    EXPECT_NEAR(std::chrono::duration<double>(expected()).count(), 0.06, 0.01);
}

TEST_F(PlacementTableTest, UsesTheLoadThatAServerReports)
{
    const auto request = makeQuery(bookings);
    const auto expectedAt = [&](Duration time) { return std::get<PlaceOnServer>(table_.place(at(time), request)).expected; };
    const auto idle = expectedAt(0s);
    table_.onServerLoad(at(0s), BackendServerId("p"), { 8, 24, 8 });
    EXPECT_EQ(expectedAt(100ms), idle * 5);
    table_.begin(at(100ms), BackendServerId("p"), request);
    EXPECT_GT(expectedAt(100ms), idle * 5);
    EXPECT_LT(expectedAt(3s), idle * 2);
}

// Guards against a backend server that spoils every new answer and is chosen nevertheless, because streams that it began before end
// well in between.
TEST_F(PlacementTableTest, StreamsUnderWayDoNotHideThatAServerSpoilsEveryAnswer)
{
    const auto spoiledWithin14s = [](std::size_t streamCount) {
        constexpr Duration answerTime = 5ms;
        PlacementTable table { ownRegion };
        table.setInstances(InstanceId("i1"), { InstanceId("i1") });
        table.setServers({ state("a", model, ownRegion), state("b", model, ownRegion) }, services());
        std::vector<PlacementId> streams;
        for (std::size_t count = 0; count < streamCount; ++count)
            streams.push_back(table.begin(at(0s), BackendServerId("a"), makeQuery()));
        for (const auto& stream : streams)
            table.onFirstPart(at(0s), stream);
        std::deque<std::tuple<TimePoint, PlacementId, std::string>> pending;
        int spoiled = 0;
        for (auto now = at(1ms); now < at(14s); now += 10ms) {
            for (; !pending.empty() && std::get<TimePoint>(pending.front()) <= now; pending.pop_front()) {
                const auto& [endsAt, id, server] = pending.front();
                table.end(endsAt, id, server == "a" ? PlacementOutcome::Spoiled : PlacementOutcome::Answered);
            }
            const bool isStreamOver = !streams.empty() && (now - at(0s)) * (streamCount + 1) >= 14s * (streamCount + 1 - streams.size());
            if (isStreamOver) {
                table.end(now, streams.back(), PlacementOutcome::Answered);
                streams.pop_back();
            }
            const auto server = serverOf(table.place(now, makeQuery()));
            spoiled += server == "a" ? 1 : 0;
            if (!server.empty())
                pending.emplace_back(now + answerTime, table.begin(now, BackendServerId(server), makeQuery()), server);
        }
        return spoiled;
    };
    // Three, one after each of the first backoffs (250 ms, 500 ms, 1 s), and then one each 2 s.
    constexpr int most = 3 + 3 + 6;
    EXPECT_LE(spoiledWithin14s(0), most);
    EXPECT_LE(spoiledWithin14s(7), most);
}

// The entry of a new process arrives some hundred milliseconds after its first connection.
TEST_F(PlacementTableTest, ProcessThatIsNotRegisteredYetCountsAsCold)
{
    const BackendServerId server("a");
    const ServerProcess restarted { StartTime(7), at(1s) };
    EXPECT_TRUE(table_.confirmSend(at(1s), server, ServerProcess { StartTime(), at(0s) }));
    EXPECT_FALSE(table_.confirmSend(at(1s), server, restarted));
    EXPECT_EQ(table_.coldServers(at(1s)), std::vector { server });
    // Whoever holds its lock may send, also on connections that do not tell their process.
    table_.setColdServersHeld({ { server, at(10s) } });
    EXPECT_TRUE(table_.confirmSend(at(1s), server, restarted));
    EXPECT_TRUE(table_.confirmSend(at(1s), server));
    // A connection to the process that the registry still names, from before the other one answered.
    EXPECT_FALSE(table_.confirmSend(at(1s), server, ServerProcess { StartTime(), at(900ms) }));
}

// A garbled start time must not keep a server out of use.
TEST_F(PlacementTableTest, RegisteredProcessThatAnswersLaterIsUsedAgain)
{
    const BackendServerId server("a");
    EXPECT_FALSE(table_.confirmSend(at(1s), server, ServerProcess { StartTime(7), at(1s) }));
    EXPECT_TRUE(table_.confirmSend(at(2s), server, ServerProcess { StartTime(), at(2s) }));
    EXPECT_TRUE(table_.coldServers(at(2s)).empty());
    EXPECT_TRUE(table_.confirmSend(at(3s), server, ServerProcess { StartTime(), at(2s) }));
}

TEST_F(PlacementTableTest, ProcessThatDoesNotSayGetsAShareUntilItsConnectionIsOlderThanTheColdPeriod)
{
    const BackendServerId server("a");
    table_.setInstances(InstanceId("i1"), { InstanceId("i1"), InstanceId("i2"), InstanceId("i3"), InstanceId("i4") });
    const ServerProcess unknown { std::nullopt, at(1s) };
    auto sent = 0;
    for (auto time = 1000ms; time < 4000ms; time += 10ms)
        sent += table_.confirmSend(at(time), server, unknown) ? 1 : 0;
    // A quarter of the rate of a cold server, for three seconds.
    EXPECT_EQ(sent, 3);
    EXPECT_TRUE(table_.confirmSend(at(20s), BackendServerId("b"), ServerProcess { std::nullopt, at(16s) }));
    EXPECT_TRUE(table_.confirmSend(at(20s), BackendServerId("b"), ServerProcess { std::nullopt, at(16s) }));
}

TEST_F(PlacementTableTest, ProcessThatIsNeverRegisteredIsUsedAfterItsColdPeriod)
{
    const BackendServerId server("a");
    const ServerProcess restarted { StartTime(7), at(1s) };
    EXPECT_FALSE(table_.confirmSend(at(1s), server, restarted));
    EXPECT_FALSE(table_.confirmSend(at(3900ms), server, restarted));
    EXPECT_TRUE(table_.confirmSend(at(4s), server, restarted));
    EXPECT_TRUE(table_.coldServers(at(4s)).empty());
}

TEST_F(PlacementTableTest, RegistryThatNamesTheNewProcessDecidesHowLongItIsCold)
{
    const BackendServerId server("a");
    EXPECT_FALSE(table_.confirmSend(at(1s), server, ServerProcess { StartTime(7), at(1s) }));
    servers_[0].server.started = StartTime(7);
    servers_[0].registeredAt = at(1500ms);
    servers_[0].coldUntil = at(2s);
    table_.setServers(servers_, services());
    EXPECT_FALSE(table_.confirmSend(at(1900ms), server, ServerProcess { StartTime(7), at(1s) }));
    EXPECT_TRUE(table_.confirmSend(at(2s), server, ServerProcess { StartTime(7), at(1s) }));
    // A connection from before leads to a process that has ended, and does not make the present one cold.
    EXPECT_FALSE(table_.confirmSend(at(3s), server, ServerProcess { StartTime(3), at(500ms) }));
    EXPECT_TRUE(table_.coldServers(at(3s)).empty());
}

TEST_F(PlacementTableTest, OnlyServersThatStartColdMustTellTheirProcess)
{
    EXPECT_TRUE(table_.mustKnowProcess(BackendServerId("a")));
    EXPECT_FALSE(table_.mustKnowProcess(BackendServerId("p")));
    EXPECT_FALSE(table_.mustKnowProcess(BackendServerId("unknown")));
    EXPECT_TRUE(table_.confirmSend(at(0s), BackendServerId("p"), ServerProcess { StartTime(7), at(0s) }));
}

namespace {

const SoftwareVersion oldVersion("v1");
const SoftwareVersion newVersion("v2");

BackendState state(const std::string& id, const ServiceId& service, const RegionId& region, const SoftwareVersion& version)
{
    auto versioned = state(id, service, region);
    versioned.server.version = version;
    return versioned;
}

PlacementQuery resumptionOf(const SoftwareVersion& version)
{
    auto query = makeQuery();
    query.version = version;
    query.wasPlaced = true;
    return query;
}

PlacementQuery newStream()
{
    auto query = makeQuery();
    query.beginsStream = true;
    return query;
}

std::string regionOf(const PlacementDecision& decision)
{
    const auto* placed = std::get_if<PlaceInRegion>(&decision);
    return placed ? placed->region.value() : std::string();
}

class VersionedPlacementTest : public PlacementTableTest {
protected:
    void setServers(std::vector<BackendState> servers)
    {
        servers_ = std::move(servers);
        table_.setServers(servers_, services());
    }

    void putLoadOn(const std::string& server) { table_.setOtherLoads(at(0s), { { BackendServerId(server), 5, TokenCount(40'000), TokenCount(40'000), TokenCount(40'000) } }); }
};

} // namespace

// Guards against a stream that goes on at a server of another version because that one has less load.
TEST_F(VersionedPlacementTest, ResumptionRunsOnlyAtServersOfItsVersion)
{
    setServers({ state("a", model, ownRegion, oldVersion), state("b", model, ownRegion, newVersion) });
    putLoadOn("a");
    EXPECT_EQ(serverOf(table_.place(at(0s), makeQuery())), "b");
    const auto decision = table_.place(at(0s), resumptionOf(oldVersion));
    EXPECT_EQ(serverOf(decision), "a");
    EXPECT_EQ(std::get<PlaceOnServer>(decision).version, oldVersion);
    EXPECT_EQ(serverOf(table_.place(at(0s), resumptionOf(newVersion))), "b");
}

// A region with many servers considers the holders of the session and some drawn servers first.
TEST_F(VersionedPlacementTest, ResumptionRunsOnlyAtItsVersionAmongManyServers)
{
    constexpr std::size_t count = 30;
    std::vector<BackendState> servers;
    servers.reserve(count);
    for (std::size_t index = 0; index < count; ++index)
        servers.push_back(state("s" + std::to_string(index), model, ownRegion, index == 17 ? oldVersion : newVersion));
    setServers(servers);
    for (std::uint64_t session = 0; session < 200; ++session) {
        auto query = resumptionOf(oldVersion);
        query.prompt = { { 1, TokenCount(500) }, { session + 10, TokenCount(1000) }, { session + 1000, TokenCount(500) } };
        query.requestHash = session * 7919;
        EXPECT_EQ(serverOf(table_.place(at(0s), query)), "s17") << session;
    }
}

TEST_F(VersionedPlacementTest, ResumptionGoesOnlyToARegionThatHasItsVersion)
{
    const RegionId thirdRegion("erongo");
    setServers({ state("a", model, ownRegion, newVersion), state("b", model, otherRegion, newVersion), state("c", model, thirdRegion, oldVersion), state("p", bookings, otherRegion, oldVersion) });
    EXPECT_EQ(regionOf(table_.place(at(0s), resumptionOf(oldVersion))), thirdRegion.value());
    auto failed = resumptionOf(oldVersion);
    failed.failedRegions = { thirdRegion };
    EXPECT_EQ(std::get<RefusePlacement>(table_.place(at(0s), failed)).code, ResultCode::NoBackendServer);
    auto forwarded = resumptionOf(oldVersion);
    forwarded.canLeaveRegion = false;
    EXPECT_EQ(std::get<RefusePlacement>(table_.place(at(0s), forwarded)).code, ResultCode::NoBackendServer);
}

TEST_F(VersionedPlacementTest, RefusesAResumptionWhoseVersionIsGone)
{
    setServers({ state("a", model, ownRegion, newVersion), state("c", model, otherRegion, oldVersion) });
    auto query = resumptionOf(oldVersion);
    EXPECT_EQ(regionOf(table_.place(at(0s), query)), otherRegion.value());
    query.homeRegions = { { ownRegion } };
    const auto refused = std::get<RefusePlacement>(table_.place(at(0s), query));
    EXPECT_EQ(refused.code, ResultCode::StreamVersionGone);
    EXPECT_EQ(refused.retryAfter, Duration::zero());
    setServers({ state("a", model, ownRegion, newVersion), state("p", bookings, ownRegion, oldVersion) });
    EXPECT_EQ(std::get<RefusePlacement>(table_.place(at(0s), resumptionOf(oldVersion))).code, ResultCode::StreamVersionGone);
}

// The version is there, but not now: the caller may come again.
TEST_F(VersionedPlacementTest, AVersionWhoseServerFailsIsNotGone)
{
    setServers({ state("a", model, ownRegion, oldVersion), state("b", model, ownRegion, newVersion) });
    table_.end(at(0s), table_.begin(at(0s), BackendServerId("a"), makeQuery()), PlacementOutcome::Unreachable);
    EXPECT_EQ(std::get<RefusePlacement>(table_.place(at(0s), resumptionOf(oldVersion))).code, ResultCode::NoBackendServer);
    auto failed = resumptionOf(newVersion);
    failed.failedServers = { BackendServerId("b") };
    EXPECT_EQ(std::get<RefusePlacement>(table_.place(at(0s), failed)).code, ResultCode::NoBackendServer);
    failed.canRetryFailedServers = true;
    EXPECT_EQ(serverOf(table_.place(at(0s), failed)), "b");
}

// Guards against a stream of a version that the store does not list yet: nobody could tell later that this version began it.
TEST_F(VersionedPlacementTest, AStreamBeginsOnlyAtListedVersions)
{
    setServers({ state("a", model, ownRegion, oldVersion), state("b", model, ownRegion, newVersion), state("c", model, otherRegion, newVersion) });
    EXPECT_EQ(std::get<RefusePlacement>(table_.place(at(0s), newStream())).code, ResultCode::NoBackendServer);
    EXPECT_FALSE(serverOf(table_.place(at(0s), makeQuery())).empty());
    table_.setListedVersions({ { bookings, { oldVersion, newVersion } } });
    EXPECT_EQ(std::get<RefusePlacement>(table_.place(at(0s), newStream())).code, ResultCode::NoBackendServer);
    table_.setListedVersions({ { model, { oldVersion } } });
    putLoadOn("a");
    EXPECT_EQ(serverOf(table_.place(at(0s), newStream())), "a");
    auto failed = newStream();
    failed.failedServers = { BackendServerId("a") };
    EXPECT_EQ(std::get<RefusePlacement>(table_.place(at(0s), failed)).code, ResultCode::NoBackendServer);
    table_.setListedVersions({ { model, { oldVersion, newVersion } } });
    EXPECT_EQ(serverOf(table_.place(at(0s), newStream())), "b");
    failed.failedServers = { BackendServerId("a"), BackendServerId("b") };
    EXPECT_EQ(regionOf(table_.place(at(0s), failed)), otherRegion.value());
}

// While every server seems too slow, single requests find out whether one still is, which must be of their version, too.
TEST_F(VersionedPlacementTest, TrialsKeepToTheVersion)
{
    setServers({ state("a", model, ownRegion, newVersion), state("b", model, ownRegion, oldVersion) });
    auto query = makeQuery();
    query.canLeaveRegion = false;
    for (int index = 0; index < 50; ++index) {
        for (const auto* server : { "a", "b" }) {
            const auto id = table_.begin(at(0s), BackendServerId(server), query);
            table_.onFirstPart(at(3s), id);
            table_.end(at(3s), id, PlacementOutcome::Answered);
        }
    }
    query.version = oldVersion;
    query.target = at(3200ms);
    query.deadline = at(13s);
    const auto decision = table_.place(at(3s), query);
    ASSERT_EQ(serverOf(decision), "b");
    EXPECT_TRUE(std::get<PlaceOnServer>(decision).isTrial);
    EXPECT_EQ(std::get<PlaceOnServer>(decision).version, oldVersion);
    // The only server of that version is being tried; the other one must not be.
    table_.begin(at(3s), BackendServerId("b"), query);
    EXPECT_EQ(std::get<RefusePlacement>(table_.place(at(3s), query)).code, ResultCode::DeadlineUnreachable);
}

// Guards against a server that was replaced, under its id and address, while the connection for a request was made.
TEST_F(VersionedPlacementTest, RequestIsNotSentToAServerWhoseVersionChanged)
{
    setServers({ state("a", model, ownRegion, oldVersion) });
    const BackendServerId server("a");
    EXPECT_EQ(table_.versionOf(server), oldVersion);
    EXPECT_FALSE(table_.versionOf(BackendServerId("unknown")));
    EXPECT_TRUE(table_.confirmSend(at(0s), server, std::nullopt, oldVersion));
    const auto placed = table_.begin(at(0s), server, makeQuery());
    setServers({ state("a", model, ownRegion, newVersion) });
    EXPECT_EQ(table_.versionOf(server), newVersion);
    EXPECT_FALSE(table_.confirmSend(at(1s), server, std::nullopt, oldVersion));
    EXPECT_TRUE(table_.confirmSend(at(1s), server, std::nullopt, newVersion));
    // The registry tells the version of the process that it names only.
    EXPECT_TRUE(table_.confirmSend(at(1s), server, ServerProcess { StartTime(), at(1s) }, newVersion));
    EXPECT_FALSE(table_.confirmSend(at(1s), server, ServerProcess { StartTime(7), at(1s) }, newVersion));
    EXPECT_FALSE(table_.confirmSend(at(1s), server, ServerProcess { std::nullopt, at(1s) }, newVersion));
    EXPECT_TRUE(table_.confirmSend(at(1s), server));
    // It is another process, although it claims to have started at the same time.
    EXPECT_TRUE(table_.ownLoads().empty());
    table_.end(at(1s), placed, PlacementOutcome::Answered);
}

} // namespace Ibisturn::Testing
