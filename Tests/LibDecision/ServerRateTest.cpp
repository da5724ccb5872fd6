#include <LibDecision/Placement/PlacementTable.h>
#include <LibDecision/ServerRates/ServerRate.h>

#include <vector>

#include <gtest/gtest.h>

namespace Ibisturn::Testing {

namespace {

using namespace std::chrono_literals;

TimePoint at(Duration time)
{
    return TimePoint(1h) + time;
}

const RegionId region("khomas");
const ServiceId model("model");
const BackendServerId onlyServer("a");

Snapshot services()
{
    Service engines;
    engines.id = model;
    engines.coldRate = 4;
    engines.coldPeriod = 3s;
    engines.engine = EngineTraits { 128, TokenCount(600'000), 4 };
    return { Revision(1), { { "services", "model", Revision(1), engines } } };
}

BackendState makeServer(const BackendServerId& id)
{
    BackendState state;
    state.server.id = id;
    state.server.service = model;
    state.server.endpoint = { "10.0.0.1", 8080 };
    state.server.region = region;
    state.server.slots = 128;
    return state;
}

PlacementQuery makeQuery(TimePoint now)
{
    PlacementQuery query;
    query.service = model;
    query.promptTokens = TokenCount(2000);
    query.maxAnswerTokens = TokenCount(100);
    query.target = now + 400ms;
    query.deadline = now + 10s;
    query.canLeaveRegion = false;
    return query;
}

class ServerRateTableTest : public testing::Test {
protected:
    ServerRateTableTest()
    {
        table_.setInstances(InstanceId("i1"), { InstanceId("i1"), InstanceId("i2") });
        table_.setServers({ makeServer(onlyServer) }, services());
    }

    bool isPlaced(TimePoint now) { return std::holds_alternative<PlaceOnServer>(table_.place(now, makeQuery(now))); }

    /// Sends a request whose answer starts after `firstPart` and ends at once.
    void serve(TimePoint now, Duration firstPart)
    {
        const auto id = table_.begin(now, onlyServer, makeQuery(now));
        table_.onFirstPart(now + firstPart, id);
        table_.end(now + firstPart, id, PlacementOutcome::Answered);
    }

    PlacementTable table_ { region };
};

} // namespace

TEST(ServerRate, ASlowdownFadesWithoutNewMeasurements)
{
    ServerRate rate;
    for (int index = 0; index < 50; ++index)
        rate.onSample(at(0s), 8, 1);
    EXPECT_GT(rate.slowness(at(0s)), 3);
    EXPECT_LT(rate.slowness(at(5s)), 1.2);
}

TEST(ServerRate, LastingSpeedIsLearnedApartFromSpellsThatTheServerReports)
{
    ServerRate slow;
    ServerRate usual;
    for (int index = 0; index < 400; ++index) {
        const auto now = at(index * 50ms);
        const bool isSpell = index % 7 == 0;
        slow.onPace(now, 100);
        slow.onSample(now, 1 / 0.6, 1);
        usual.onPace(now, isSpell ? 250 : 100);
        usual.onSample(now, isSpell ? 2.5 : 1, 1);
    }
    EXPECT_NEAR(slow.lastingFactor(at(20s)), 1 / 0.6, 0.1);
    EXPECT_NEAR(usual.lastingFactor(at(20s)), 1, 0.1);
    EXPECT_NEAR(usual.slowness(at(20s)), 1, 0.1);
}

TEST(ServerRate, AReportOfThePresentEndsWithItsSpell)
{
    ServerRate rate;
    rate.onPace(at(0s), 250);
    EXPECT_NEAR(rate.factor(at(0s)), 2.5, 0.01);
    EXPECT_NEAR(rate.factor(at(300ms)), 1.75, 0.01);
    EXPECT_EQ(rate.factor(at(600ms)), 1);
    rate.onPace(at(1s), 0);
    EXPECT_EQ(rate.factor(at(1s)), 1);
    rate.onPace(at(2s), 4'000'000'000U);
    EXPECT_EQ(rate.factor(at(2s)), ServerRate::maxFactor);
}

// Answers that were under way together raised the estimate once each, on top of each other.
TEST_F(ServerRateTableTest, AnswersInFlightDoNotCompound)
{
    std::vector<PlacementId> placed;
    placed.reserve(20);
    for (int index = 0; index < 20; ++index)
        placed.push_back(table_.begin(at(0s), onlyServer, makeQuery(at(0s))));
    // The first one waits for nothing ahead of it: twice the 90 ms of its forecast.
    for (const auto id : placed) {
        table_.onFirstPart(at(180ms), id);
        table_.end(at(180ms), id, PlacementOutcome::Answered);
    }
    const auto decision = table_.place(at(180ms), makeQuery(at(180ms)));
    ASSERT_TRUE(std::holds_alternative<PlaceOnServer>(decision));
    EXPECT_LT(std::get<PlaceOnServer>(decision).expected, 250ms);
}

// The time per prompt token learned the slowdown, too, and nothing corrected it.
TEST_F(ServerRateTableTest, AServiceWithLongPromptsIsUsedAgainAfterASlowSpellOfAllItsServers)
{
    auto query = makeQuery(at(0s));
    query.promptTokens = TokenCount(12'000);
    const auto askAt = [&query](TimePoint now) {
        query.target = now + 1s;
        query.deadline = now + 10s;
        return query;
    };
    for (auto time = 0ms; time < 4000ms; time += 55ms) {
        const auto id = table_.begin(at(time), onlyServer, askAt(at(time)));
        table_.onFirstPart(at(time) + 1200ms, id);
        table_.end(at(time) + 1200ms, id, PlacementOutcome::Answered);
    }
    auto served = 0;
    for (auto time = 7000ms; time < 12000ms; time += 100ms) {
        if (!std::holds_alternative<PlaceOnServer>(table_.place(at(time), askAt(at(time)))))
            continue;
        ++served;
        const auto id = table_.begin(at(time), onlyServer, askAt(at(time)));
        table_.onFirstPart(at(time) + 240ms, id);
        table_.end(at(time) + 240ms, id, PlacementOutcome::Answered);
    }
    EXPECT_GE(served, 45);
}

// After four seconds in which all servers of a service were slow, its requests were refused for good.
TEST_F(ServerRateTableTest, AServiceIsUsedAgainAfterASlowSpellOfAllItsServers)
{
    for (auto time = 0ms; time < 4000ms; time += 100ms)
        serve(at(time), 1500ms);
    auto served = 0;
    auto asked = 0;
    for (auto time = 6000ms; time < 16000ms; time += 100ms) {
        ++asked;
        if (!isPlaced(at(time)))
            continue;
        ++served;
        serve(at(time), 100ms);
    }
    EXPECT_GT(served, asked * 9 / 10);
}

// While the server is still slow, a belief is tested by single requests, not by all of them.
TEST_F(ServerRateTableTest, OneTrialAtATimeGoesToAServerThatIsBelievedToBeSlow)
{
    for (int index = 0; index < 50; ++index)
        serve(at(0s), 3s);
    auto trials = 0;
    for (auto time = 3000ms; time < 3500ms; time += 10ms) {
        if (!isPlaced(at(time)))
            continue;
        ++trials;
        table_.begin(at(time), onlyServer, makeQuery(at(time)));
    }
    EXPECT_EQ(trials, 1);
}

// A process that starts again at once under the same id is cold, and its entry arrives late. It was flooded meanwhile.
TEST_F(ServerRateTableTest, AServerWhoseConnectionsWereLostGetsTheShareOfAColdOne)
{
    const auto id = table_.begin(at(-100ms), onlyServer, makeQuery(at(-100ms)));
    table_.end(at(100ms), id, PlacementOutcome::Lost);
    auto sent = 0;
    for (auto time = 100ms; time < 1100ms; time += 10ms)
        sent += isPlaced(at(time)) && table_.confirmSend(at(time), onlyServer) ? 1 : 0;
    EXPECT_GE(sent, 1);
    EXPECT_LE(sent, 2);
}

// Requests that are short leave none under way when the process ends; only the idle connections show it.
TEST_F(ServerRateTableTest, AServerThatClosedAnIdleConnectionGetsTheShareOfAColdOne)
{
    table_.onConnectionLost(at(0s), { "10.0.0.1", 8080 });
    auto sent = 0;
    for (auto time = 0ms; time < 1000ms; time += 10ms)
        sent += isPlaced(at(time)) && table_.confirmSend(at(time), onlyServer) ? 1 : 0;
    EXPECT_GE(sent, 1);
    EXPECT_LE(sent, 2);
}

TEST_F(ServerRateTableTest, AServerThatGoesOnAnsweringKeepsItsTrafficAfterALostAnswer)
{
    const auto answering = table_.begin(at(0s), onlyServer, makeQuery(at(0s)));
    const auto lost = table_.begin(at(10ms), onlyServer, makeQuery(at(10ms)));
    table_.end(at(200ms), lost, PlacementOutcome::Lost);
    table_.onFirstPart(at(310ms), answering);
    for (auto time = 320ms; time < 420ms; time += 10ms) {
        EXPECT_TRUE(isPlaced(at(time)));
        EXPECT_TRUE(table_.confirmSend(at(time), onlyServer));
    }
}

} // namespace Ibisturn::Testing
