#include <LibDecision/Placement/PlacementTable.h>
#include <LibDecision/PromptAffinity/AssumedCache.h>
#include <LibDecision/PromptAffinity/LoadBound.h>
#include <LibDecision/PromptAffinity/PromptAffinity.h>

#include <algorithm>
#include <map>
#include <set>
#include <string>
#include <vector>

#include <gtest/gtest.h>

namespace Ibisturn::Testing {

namespace {

using namespace std::chrono_literals;

constexpr std::uint64_t sessions = 1136;

TimePoint at(Duration time)
{
    return TimePoint(1h) + time;
}

std::vector<BackendServerId> engines(int count)
{
    std::vector<BackendServerId> ids;
    for (int index = 0; index < count; ++index)
        ids.emplace_back("engine-" + std::to_string(index));
    return ids;
}

std::map<std::uint64_t, std::string> holders(const ServerRanking& ranking)
{
    std::map<std::uint64_t, std::string> holders;
    for (std::uint64_t session = 0; session < sessions; ++session)
        holders[session] = ranking.at(ranking.rank(session, 1).front()).value();
    return holders;
}

std::vector<PromptPart> promptOf(std::uint64_t session)
{
    return { { 1'000'000, TokenCount(512) }, { session, TokenCount(4870) }, { 2'000'000 + session, TokenCount(6610) } };
}

} // namespace

// Guards against instances that read a session's parts on different servers because their lists of servers are in another order.
TEST(ServerRanking, IsTheSameForAnyOrderOfTheServers)
{
    auto ids = engines(46);
    ServerRanking ranking;
    ranking.setServers(ids);
    ServerRanking other;
    std::reverse(ids.begin(), ids.end());
    other.setServers(ids);
    EXPECT_EQ(holders(ranking), holders(other));
}

TEST(ServerRanking, LossOfAServerMovesOnlyItsSessions)
{
    const auto ids = engines(46);
    ServerRanking ranking;
    ranking.setServers(ids);
    const auto before = holders(ranking);
    auto remaining = ids;
    remaining.erase(remaining.begin() + 7);
    ServerRanking after;
    after.setServers(remaining);
    std::set<std::string> heirs;
    for (const auto& [session, holder] : holders(after)) {
        if (before.at(session) == ids[7].value()) {
            heirs.insert(holder);
            EXPECT_EQ(holder, ranking.at(ranking.rank(session, 2).back()).value());
        } else {
            EXPECT_EQ(holder, before.at(session));
        }
    }
    EXPECT_GT(heirs.size(), 5U);
}

// A server that only some instances know takes only its own share of the sessions on these.
TEST(ServerRanking, InstancesThatSeeDifferentServersAgreeOnMostSessions)
{
    const auto ids = engines(46);
    ServerRanking ranking;
    ranking.setServers({ ids.begin(), ids.begin() + 43 });
    ServerRanking other;
    other.setServers({ ids.begin() + 3, ids.end() });
    const auto left = holders(ranking);
    const auto right = holders(other);
    const auto same = std::count_if(left.begin(), left.end(), [&](const auto& entry) { return right.at(entry.first) == entry.second; });
    EXPECT_GT(same, static_cast<std::ptrdiff_t>(sessions * 8 / 10));
}

TEST(ServerRanking, SharesOfSessionsAreProportionalToSpeed)
{
    ServerRanking ranking;
    ranking.setServers(engines(30));
    for (std::size_t index = 0; index < ranking.size(); ++index)
        ranking.setSpeed(index, index < 10 ? 0.6 : index < 20 ? 1
                                                              : 1.6);
    std::map<std::string, int> counts;
    constexpr int keys = 30'000;
    for (int key = 0; key < keys; ++key)
        ++counts[ranking.at(ranking.rank(static_cast<std::uint64_t>(key), 1).front()).value()];
    const auto sumOf = [&](int from, int until) {
        double sum = 0;
        for (int index = from; index < until; ++index)
            sum += counts["engine-" + std::to_string(index)];
        return sum / keys;
    };
    // Steps of speed are a third of an octave, so 0.6 counts as 0.63 and 1.6 as 1.59.
    EXPECT_NEAR(sumOf(0, 10), 0.63 / 3.22, 0.02);
    EXPECT_NEAR(sumOf(10, 20), 1 / 3.22, 0.02);
    EXPECT_NEAR(sumOf(20, 30), 1.59 / 3.22, 0.02);
}

// Each instance measures speeds of its own, which differ by some percent.
TEST(ServerRanking, SmallDifferencesOfSpeedMoveNoSession)
{
    ServerRanking ranking;
    ranking.setServers(engines(46));
    const auto before = holders(ranking);
    const auto version = ranking.version();
    for (std::size_t index = 0; index < ranking.size(); ++index)
        ranking.setSpeed(index, index % 2 == 0 ? 1.1 : 0.9);
    EXPECT_EQ(ranking.version(), version);
    EXPECT_EQ(holders(ranking), before);
    // Extreme speeds count as bounded ones.
    ranking.setSpeed(0, 1e9);
    ranking.setSpeed(1, 1e-9);
    std::size_t ofFastest = 0;
    for (const auto& [session, holder] : holders(ranking))
        ofFastest += holder == ranking.at(0).value() ? 1 : 0;
    EXPECT_LT(ofFastest, sessions / 10);
}

TEST(ServerRanking, RanksFewerServersThanWanted)
{
    ServerRanking ranking;
    EXPECT_TRUE(ranking.rank(1, 3).empty());
    ranking.setServers(engines(2));
    EXPECT_EQ(ranking.rank(1, 3).size(), 2U);
    EXPECT_TRUE(ranking.rank(1, 0).empty());
}

TEST(PartRates, CountsRequestsOfTheLastWindow)
{
    PartRates rates;
    for (auto time = 0ms; time < 20s; time += 100ms)
        rates.record(at(time), promptOf(1));
    EXPECT_NEAR(rates.requests(at(20s), 1), 50, 3);
    EXPECT_TRUE(rates.isEstablished(at(20s), 1));
    EXPECT_EQ(rates.requests(at(20s), 2'000'001), 0);
    EXPECT_LT(rates.requests(at(27s), 1), 35);
    EXPECT_EQ(rates.requests(at(31s), 1), 0);
    EXPECT_FALSE(rates.isEstablished(at(31s), 1));
}

TEST(PartRates, BoundsItsMemory)
{
    PartRates rates;
    for (std::uint64_t session = 0; session < PartRates::maxParts * 2; ++session)
        rates.record(at(0s), promptOf(session));
    EXPECT_EQ(rates.requests(at(0s), PartRates::maxParts * 2 - 1), 0);
    rates.record(at(30s), promptOf(PartRates::maxParts * 2 - 1));
    EXPECT_EQ(rates.requests(at(30s), PartRates::maxParts * 2 - 1), 1);
}

TEST(PromptAffinity, HotSessionGetsFurtherHoldersAndLosesThem)
{
    PromptAffinity affinity;
    affinity.setServers(engines(46));
    affinity.setInstanceCount(10);
    EXPECT_EQ(affinity.holderCount(1), 1U);
    // One request per second at each of ten instances.
    for (auto time = 0s; time < 10s; time += 1s) {
        affinity.advance(at(time));
        affinity.onSent(promptOf(1));
    }
    EXPECT_EQ(affinity.holderCount(1), 3U);
    EXPECT_EQ(affinity.holderCount(2), 1U);
    affinity.advance(at(30s));
    EXPECT_EQ(affinity.holderCount(1), 1U);
}

TEST(PromptAffinity, SessionIsThePartBeforeTheLast)
{
    EXPECT_EQ(PromptAffinity::sessionOf(promptOf(5)), 5U);
    EXPECT_EQ(PromptAffinity::sessionOf({ { 7, TokenCount(10) }, { 8, TokenCount(10) } }), 7U);
    EXPECT_FALSE(PromptAffinity::sessionOf({ { 7, TokenCount(10) } }));
    EXPECT_FALSE(PromptAffinity::sessionOf({}));
}

TEST(PromptAffinity, OnlyPartsThatEveryServerGetsOftenAreCommon)
{
    PromptAffinity affinity;
    affinity.setServers(engines(10));
    affinity.setInstanceCount(10);
    for (std::uint64_t request = 0; request < 100; ++request) {
        affinity.advance(at(100ms * request));
        affinity.onSent(promptOf(request % 50));
        if (request == 20)
            EXPECT_FALSE(affinity.isCommon(1'000'000)) << "seen for two seconds only";
    }
    EXPECT_TRUE(affinity.isCommon(1'000'000));
    EXPECT_FALSE(affinity.isCommon(1));
    EXPECT_EQ(affinity.commonTokens(promptOf(1)), TokenCount(512));
    affinity.advance(at(1min));
    EXPECT_EQ(affinity.commonTokens(promptOf(1)), TokenCount(0));
}

TEST(LoadBound, ExceedsTheMeanByAQuarter)
{
    LoadBound bound;
    for (int index = 0; index < 10; ++index)
        bound.add(20, TokenCount(100'000), 1);
    EXPECT_FALSE(bound.isExceededBy(25, TokenCount(125'000), 1));
    EXPECT_TRUE(bound.isExceededBy(26, TokenCount(0), 1));
    EXPECT_TRUE(bound.isExceededBy(0, TokenCount(125'001), 1));
    EXPECT_TRUE(bound.isExceededBy(20, TokenCount(0), 1.6));
    EXPECT_FALSE(bound.isExceededBy(40, TokenCount(0), 0.6));
}

// Guards against sessions that leave their server although it is nearly idle.
TEST(LoadBound, DoesNotApplyToNearlyIdleServers)
{
    LoadBound bound;
    EXPECT_FALSE(bound.isExceededBy(1, TokenCount(7000), 1));
    for (int index = 0; index < 10; ++index)
        bound.add(0, TokenCount(0), 1);
    EXPECT_FALSE(bound.isExceededBy(4, TokenCount(8000), 1));
    EXPECT_TRUE(bound.isExceededBy(5, TokenCount(0), 1));
}

// Guards against a region in which most sessions have no server of their own, because the servers of all regions were ranked together:
// then each instance reads their parts on the server that it finds least loaded.
TEST(PromptAffinityPlacement, InstancesOfEachRegionAgreeOnAServerForEverySession)
{
    Service service;
    service.id = ServiceId("model");
    service.engine = EngineTraits { 24, TokenCount(444'000), 14 };
    const Snapshot snapshot { Revision(1), { { "services", "model", Revision(1), service } } };
    const std::vector<RegionId> regions { RegionId("north"), RegionId("east"), RegionId("south") };
    constexpr int serversPerRegion = 4;
    std::vector<BackendState> servers;
    for (const auto& region : regions) {
        for (int index = 0; index < serversPerRegion; ++index) {
            BackendState state;
            state.server.id = BackendServerId(region.value() + std::to_string(index));
            state.server.service = service.id;
            state.server.region = region;
            state.server.endpoint = { "10.0.0.1", static_cast<std::uint16_t>(8000 + servers.size()) };
            servers.push_back(state);
        }
    }
    for (const auto& region : regions) {
        PlacementTable left(region);
        PlacementTable right(region);
        left.setServers(servers, snapshot);
        right.setServers({ servers.rbegin(), servers.rend() }, snapshot);
        std::map<std::string, int> counts;
        constexpr int sessionCount = 200;
        for (int session = 0; session < sessionCount; ++session) {
            PlacementQuery query;
            query.service = service.id;
            query.prompt = promptOf(static_cast<std::uint64_t>(session));
            query.promptTokens = TokenCount(11'992);
            query.target = at(1s);
            query.deadline = at(10s);
            const auto chosen = std::get<PlaceOnServer>(left.place(at(0s), query)).server;
            ASSERT_EQ(std::get<PlaceOnServer>(right.place(at(0s), query)).server, chosen);
            ++counts[chosen.value()];
        }
        for (const auto& [server, count] : counts)
            EXPECT_LT(count, sessionCount / serversPerRegion * 3 / 2) << server;
    }
}

} // namespace Ibisturn::Testing
