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
    ids.reserve(static_cast<std::size_t>(count));
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

const ServiceId model("model");
const RegionId ownRegion("north");

Snapshot services()
{
    Service service;
    service.id = model;
    service.engine = EngineTraits { 24, TokenCount(444'000), 14 };
    return { Revision(1), { { "services", "model", Revision(1), service } } };
}

BackendState stateOf(const RegionId& region, int index)
{
    BackendState state;
    state.server.id = BackendServerId(region.value() + std::to_string(index));
    state.server.service = model;
    state.server.region = region;
    state.server.endpoint = { "10.0.0.1", static_cast<std::uint16_t>(8000 + index) };
    state.server.slots = 24;
    return state;
}

std::vector<BackendState> statesOf(int count)
{
    std::vector<BackendState> states;
    states.reserve(static_cast<std::size_t>(count));
    for (int index = 0; index < count; ++index)
        states.push_back(stateOf(ownRegion, index));
    return states;
}

PlacementQuery queryOf(const std::vector<PromptPart>& prompt, TimePoint now = at(0s))
{
    PlacementQuery query;
    query.service = model;
    query.prompt = prompt;
    query.promptTokens = TokenCount(11'992);
    query.maxAnswerTokens = TokenCount(400);
    query.target = now + 1s;
    query.deadline = now + 10s;
    query.canLeaveRegion = false;
    return query;
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

TEST(PartRates, NewFrequentPartHasItsRateBeforeTheWindowHasPassed)
{
    PartRates rates;
    for (auto time = 0ms; time < 500ms; time += 10ms)
        rates.record(at(time), promptOf(1));
    EXPECT_NEAR(rates.requestsPerSecond(at(500ms), 1), 100, 2);
    // Two requests in quick succession say nothing of a rate.
    rates.record(at(500ms), promptOf(2));
    rates.record(at(510ms), promptOf(2));
    EXPECT_NEAR(rates.requestsPerSecond(at(510ms), 2), 0.4, 0.01);
    EXPECT_EQ(rates.requestsPerSecond(at(510ms), 3), 0);
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
    LoadBound bound(4, 8000);
    EXPECT_FALSE(bound.isExceededBy(1, TokenCount(7000), 1));
    for (int index = 0; index < 10; ++index)
        bound.add(0, TokenCount(0), 1);
    EXPECT_FALSE(bound.isExceededBy(4, TokenCount(8000), 1));
    EXPECT_TRUE(bound.isExceededBy(5, TokenCount(0), 1));
}

// Large shared parts, of which a server's memory takes few, pushed each other out when each region kept them.
TEST(PromptAffinityPlacement, LargeSessionsAreSpreadOverAllRegions)
{
    const std::vector<RegionId> regions { RegionId("north"), RegionId("east"), RegionId("south") };
    std::vector<BackendState> servers;
    for (const auto& region : regions) {
        for (int index = 0; index < 12; ++index)
            servers.push_back(stateOf(region, index));
    }
    // How many regions assume that a server of theirs holds a session, for the session with the most.
    const auto mostRegions = [&](TokenCount sharedTokens) {
        int most = 0;
        for (std::uint64_t session = 0; session < 100; ++session) {
            int holding = 0;
            for (const auto& region : regions) {
                PlacementTable table(region);
                table.setServers(servers, services());
                auto query = queryOf(promptOf(session));
                query.prompt[1].tokens = sharedTokens;
                query.promptTokens = sharedTokens + TokenCount(5000);
                const auto decision = table.place(at(0s), query);
                const auto* placed = std::get_if<PlaceOnServer>(&decision);
                holding += placed && placed->assumedTokens > TokenCount(0) ? 1 : 0;
            }
            most = std::max(most, holding);
        }
        return most;
    };
    EXPECT_EQ(mostRegions(TokenCount(4870)), 3);
    EXPECT_EQ(mostRegions(TokenCount(13'000)), 1);
}

// Three regions that each kept the parts of all sessions had too little memory for them, and read them again and again.
TEST(PromptAffinityPlacement, SessionsAreSpreadOverAllRegionsWhereTheseAreSmall)
{
    const std::vector<RegionId> regions { RegionId("north"), RegionId("east"), RegionId("south") };
    std::vector<BackendState> servers;
    for (const auto& region : regions) {
        for (int index = 0; index < 5; ++index)
            servers.push_back(stateOf(region, index));
    }
    // How many regions assume that a server of theirs holds a session, for the session with the most.
    const auto mostRegions = [&](std::size_t serversSharedByRegions) {
        PlacementLimits limits;
        limits.serversSharedByRegions = serversSharedByRegions;
        int most = 0;
        for (std::uint64_t session = 0; session < 300; ++session) {
            int holding = 0;
            for (const auto& region : regions) {
                PlacementTable table(region, limits);
                table.setServers(servers, services());
                const auto decision = table.place(at(0s), queryOf(promptOf(session)));
                const auto* placed = std::get_if<PlaceOnServer>(&decision);
                holding += placed && placed->assumedTokens > TokenCount(0) ? 1 : 0;
            }
            most = std::max(most, holding);
        }
        return most;
    };
    EXPECT_EQ(mostRegions(4), 3);
    EXPECT_EQ(mostRegions(PlacementLimits().serversSharedByRegions), 1);
}

// Guards against a region in which most sessions have no server of their own, because the servers of all regions were ranked together:
// then each instance reads their parts on the server that it finds least loaded.
TEST(PromptAffinityPlacement, InstancesOfEachRegionAgreeOnAServerForEverySession)
{
    const std::vector<RegionId> regions { RegionId("north"), RegionId("east"), RegionId("south") };
    constexpr int serversPerRegion = 12;
    std::vector<BackendState> servers;
    for (const auto& region : regions) {
        for (int index = 0; index < serversPerRegion; ++index)
            servers.push_back(stateOf(region, index));
    }
    for (const auto& region : regions) {
        PlacementTable left(region);
        PlacementTable right(region);
        left.setServers(servers, services());
        right.setServers({ servers.rbegin(), servers.rend() }, services());
        std::map<std::string, int> counts;
        constexpr int sessionCount = 600;
        for (int session = 0; session < sessionCount; ++session) {
            const auto query = queryOf(promptOf(static_cast<std::uint64_t>(session)));
            const auto chosen = std::get<PlaceOnServer>(left.place(at(0s), query)).server;
            ASSERT_EQ(std::get<PlaceOnServer>(right.place(at(0s), query)).server, chosen);
            ++counts[chosen.value()];
        }
        for (const auto& [server, count] : counts)
            EXPECT_LT(count, sessionCount / serversPerRegion * 3 / 2) << server;
    }
}

// Guards against instances that see the same old loads and all choose the least loaded server.
TEST(PromptAffinityPlacement, InstancesWithTheSameOldLoadsSpreadTheirRequests)
{
    const auto busiest = [](const PlacementLimits& limits) {
        constexpr int servers = 20;
        std::vector<InstanceLoad> loads;
        for (int index = 1; index < servers; ++index)
            loads.push_back({ BackendServerId(ownRegion.value() + std::to_string(index)), 3, TokenCount(3000), TokenCount(3000), TokenCount(20'000) });
        std::map<std::string, int> counts;
        for (std::uint64_t instance = 0; instance < 40; ++instance) {
            PlacementTable table(ownRegion, limits);
            table.setServers(statesOf(servers), services());
            table.setOtherLoads(at(0s), loads);
            auto query = queryOf({});
            query.requestHash = instance * 7919;
            ++counts[std::get<PlaceOnServer>(table.place(at(0s), query)).server.value()];
        }
        return std::max_element(counts.begin(), counts.end(), [](const auto& left, const auto& right) { return left.second < right.second; })->second;
    };
    PlacementLimits all;
    all.serversAllConsidered = 1000;
    EXPECT_EQ(busiest(all), 40);
    EXPECT_LE(busiest({}), 10);
}

TEST(PromptAffinityPlacement, SessionGoesToTheNextInRankWhileItsServerIsPausedOrFull)
{
    PlacementTable table(ownRegion);
    table.setServers(statesOf(20), services());
    const auto query = queryOf(promptOf(5));
    const auto rankAt = [&] { return std::get<PlaceOnServer>(table.place(at(0s), query)).sessionRank; };
    const auto first = std::get<PlaceOnServer>(table.place(at(0s), query)).server;
    EXPECT_EQ(rankAt(), 0U);
    table.setOtherLoads(at(0s), { { first, 23, TokenCount(0), TokenCount(0), TokenCount(100'000) } });
    EXPECT_EQ(rankAt(), 1U);
    table.setOtherLoads(at(0s), {});
    EXPECT_EQ(rankAt(), 0U);
    table.onRetryAfter(at(0s), first, 1s);
    EXPECT_EQ(rankAt(), 1U);
}

// Guards against refusals while a server that was not drawn is free.
TEST(PromptAffinityPlacement, AllServersAreConsideredIfNoneOfTheFewIsUsable)
{
    PlacementTable table(ownRegion);
    table.setServers(statesOf(20), services());
    auto query = queryOf(promptOf(5));
    for (int index = 0; index < 20; ++index) {
        if (index != 13)
            table.onRetryAfter(at(0s), BackendServerId(ownRegion.value() + std::to_string(index)), 5s);
    }
    for (std::uint64_t hash = 0; hash < 10; ++hash) {
        query.requestHash = hash;
        EXPECT_EQ(std::get<PlaceOnServer>(table.place(at(0s), query)).server.value(), ownRegion.value() + "13");
    }
}

TEST(PromptAffinityPlacement, RestartedServerHoldsNothing)
{
    PlacementTable table(ownRegion);
    auto states = statesOf(20);
    table.setServers(states, services());
    const auto placeAt = [&](Duration time) { return std::get<PlaceOnServer>(table.place(at(time), queryOf(promptOf(5), at(time)))); };
    const auto before = placeAt(0s);
    EXPECT_EQ(before.assumedTokens, TokenCount(3767));
    for (auto& state : states) {
        if (state.server.id == before.server)
            state.server.started = StartTime(99);
    }
    table.setServers(states, services());
    const auto after = placeAt(100ms);
    EXPECT_EQ(after.server, before.server);
    EXPECT_EQ(after.assumedTokens, TokenCount(0));
    EXPECT_LT(placeAt(2s).assumedTokens, TokenCount(1000));
    EXPECT_EQ(placeAt(30s).assumedTokens, TokenCount(3767));
}

TEST(PromptAffinityPlacement, LateAnswersLowerWhatIsAssumed)
{
    PlacementTable table(ownRegion);
    table.setServers(statesOf(20), services());
    const auto place = std::get<PlaceOnServer>(table.place(at(0s), queryOf(promptOf(5))));
    // The first part differs, so that nothing is known to be cached. One request per second keeps the session at one server.
    const auto queryAt = [](Duration time) {
        auto query = queryOf(promptOf(5), at(time));
        query.prompt.front().id = static_cast<std::uint64_t>(time.count());
        return query;
    };
    for (auto time = 0s; time < 5s; time += 1s) {
        const auto id = table.begin(at(time), place.server, queryAt(time));
        table.onFirstPart(at(time) + place.expected * 2, id);
        table.end(at(time) + 900ms, id, PlacementOutcome::Answered);
    }
    const auto after = std::get<PlaceOnServer>(table.place(at(5s), queryAt(5s)));
    ASSERT_EQ(after.server, place.server);
    EXPECT_LT(after.assumedTokens.count(), place.assumedTokens.count() * 3 / 4);
    EXPECT_GT(std::get<PlaceOnServer>(table.place(at(40s), queryAt(40s))).assumedTokens.count(), place.assumedTokens.count() * 9 / 10);
}

// Parts that all requests share need no session's server; the estimate must not count them as read again.
TEST(PromptAffinityPlacement, CommonPartsCountAsCachedEverywhere)
{
    PlacementTable table(ownRegion);
    table.setServers(statesOf(10), services());
    const std::vector<PromptPart> prompt { { 1, TokenCount(568) }, { 2, TokenCount(1800) } };
    for (int request = 0; request < 100; ++request) {
        const auto now = at(100ms * request);
        auto query = queryOf(prompt, now);
        query.prompt.back().id = 1000U + static_cast<unsigned>(request);
        query.requestHash = static_cast<std::uint64_t>(request) * 7919;
        const BackendServerId server(ownRegion.value() + std::to_string(request % 9));
        const auto id = table.begin(now, server, query);
        table.end(now, id, PlacementOutcome::Answered);
    }
    // Nothing was sent to the last server.
    for (int index = 0; index < 9; ++index)
        table.onRetryAfter(at(10s), BackendServerId(ownRegion.value() + std::to_string(index)), 5s);
    const auto place = std::get<PlaceOnServer>(table.place(at(10s), queryOf(prompt, at(10s))));
    EXPECT_EQ(place.server.value(), ownRegion.value() + "9");
    EXPECT_EQ(place.assumedTokens, TokenCount(568));
}

TEST(AssumedCache, LateAnswersLowerTheShareAndItRecovers)
{
    AssumedCache cache;
    EXPECT_DOUBLE_EQ(cache.share(at(0s)), AssumedCache::usualShare);
    for (int answer = 0; answer < 10; ++answer)
        cache.onAnswer(at(0s), 40ms, 30ms);
    EXPECT_LT(cache.share(at(0s)), 0.1);
    EXPECT_GT(cache.share(at(30s)), 0.65);
    for (int answer = 0; answer < 10; ++answer)
        cache.onAnswer(at(0s), 5ms, 30ms);
    EXPECT_GT(cache.share(at(0s)), 0.6);
    // Answers for which little was assumed are no evidence.
    const auto before = cache.share(at(0s));
    cache.onAnswer(at(0s), 10s, 5ms);
    EXPECT_EQ(cache.share(at(0s)), before);
}

TEST(AssumedCache, FillsAfterTheColdPeriod)
{
    AssumedCache cache;
    cache.setColdUntil(at(3s));
    EXPECT_EQ(cache.share(at(1s)), 0);
    EXPECT_NEAR(cache.share(at(8s)), AssumedCache::usualShare / 2, 0.01);
    EXPECT_DOUBLE_EQ(cache.share(at(20s)), AssumedCache::usualShare);
}

} // namespace Ibisturn::Testing
