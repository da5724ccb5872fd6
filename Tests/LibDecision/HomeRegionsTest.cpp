#include <LibDecision/Routing/HomeRegions.h>
#include <Tests/Support/Cases.h>

#include <algorithm>

#include <gtest/gtest.h>

namespace Ibisturn::Testing {

namespace {

const std::vector<RegionId> allRegions { RegionId("khomas"), RegionId("omaheke"), RegionId("erongo") };
const RouteId book("book");
const WorkspaceId schools("schools");

/// The home regions that one configuration gives to the route and to the workspace; nullopt if it has no such record, empty
/// if the record has no home regions.
struct Rules {
    std::optional<std::vector<RegionId>> route;
    std::optional<std::vector<RegionId>> workspace;
};

std::vector<RegionId> randomRegions(Random& random)
{
    std::vector<RegionId> regions;
    for (const auto& region : allRegions) {
        if (randomBelow(random, 2) == 0)
            regions.push_back(region);
    }
    return regions;
}

Rules randomRules(Random& random)
{
    constexpr std::size_t removalInterval = 4;
    Rules rules;
    if (randomBelow(random, removalInterval) > 0)
        rules.route = randomRegions(random);
    if (randomBelow(random, removalInterval) > 0)
        rules.workspace = randomRegions(random);
    return rules;
}

Snapshot snapshotOf(const Rules& rules, Revision revision)
{
    std::vector<Record> records;
    if (rules.route) {
        Route route;
        route.id = book;
        route.pathPrefix = "/";
        route.policy = RoutePolicy();
        route.policy->homeRegions = *rules.route;
        records.push_back({ "routes", book.value(), revision, route });
    }
    if (rules.workspace) {
        Workspace workspace;
        workspace.id = schools;
        workspace.residency = ResidencyRuleId("schools");
        workspace.scope = rules.workspace->empty() ? ResidencyScope::Everywhere : ResidencyScope::ByRule;
        records.push_back({ "workspaces", schools.value(), revision, workspace });
        if (!rules.workspace->empty())
            records.push_back({ "residency", schools.value(), revision, ResidencyRule { workspace.residency, *rules.workspace } });
    }
    return { revision, records };
}

bool permits(const std::optional<std::vector<RegionId>>& regions, const RegionId& region)
{
    return !regions || regions->empty() || std::find(regions->begin(), regions->end(), region) != regions->end();
}

} // namespace

// Guards against a request that runs outside the home regions of the configuration which accepted it, or of any later one that it met.
TEST(HomeRegions, ARequestUnderWayStaysWithinTheHomeRegionsOfEachConfiguration)
{
    forEachCase([](Random& random) {
        constexpr std::size_t maxChanges = 5;
        std::vector<Rules> met;
        Rules acceptedUnder = randomRules(random);
        acceptedUnder.route = acceptedUnder.route.value_or(std::vector<RegionId>());
        met.push_back(acceptedUnder);
        auto homeRegions = homeRegionsFor(snapshotOf(acceptedUnder, Revision(1)), schools, book);
        const auto changes = randomBelow(random, maxChanges);
        for (std::size_t change = 0; change < changes; ++change) {
            met.push_back(randomRules(random));
            homeRegions = homeRegionsInForce(snapshotOf(met.back(), Revision(static_cast<std::int64_t>(change) + 2)), schools, book, homeRegions);
        }
        for (const auto& region : allRegions) {
            const bool isHomeOfAll = std::all_of(met.begin(), met.end(), [&region](const Rules& rules) { return permits(rules.route, region) && permits(rules.workspace, region); });
            EXPECT_EQ(permitsRegion(homeRegions, region), isHomeOfAll) << region.value();
        }
    });
}

TEST(HomeRegions, AnIntersectionPermitsWhatBothPermit)
{
    const HomeRegions any;
    const HomeRegions none = std::vector<RegionId>();
    const HomeRegions khomas = std::vector<RegionId> { allRegions[0] };
    EXPECT_EQ(intersectionOf(any, any), any);
    EXPECT_EQ(intersectionOf(any, khomas), khomas);
    EXPECT_EQ(intersectionOf(khomas, any), khomas);
    EXPECT_EQ(intersectionOf(khomas, HomeRegions(std::vector<RegionId> { allRegions[1] })), none);
    EXPECT_EQ(intersectionOf(none, any), none);
}

} // namespace Ibisturn::Testing
