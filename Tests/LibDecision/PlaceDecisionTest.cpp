#include <LibDecision/Routing/PlaceDecision.h>

#include <gtest/gtest.h>

namespace Ibisturn {

namespace {

/// Chooses the first candidate.
class FirstStrategy final : public RoutingStrategy {
public:
    std::size_t choose(std::span<const BackendCandidate> /*candidates*/, std::uint64_t /*requestHash*/) override { return 0; }
};

/// A workspace whose residency rule permits two regions, and a route whose only engine is in the second one.
class PlaceDecisionTest : public testing::Test {
protected:
    static Snapshot makeSnapshot()
    {
        BackendServer engine;
        engine.id = BackendServerId("engine");
        engine.region = RegionId("omaheke");
        engine.dataCentre = DataCentreId("omaheke-1");
        engine.routes = { RouteId("narrative") };
        Route route;
        route.id = RouteId("narrative");
        route.pathPrefix = "/v1/";
        const Workspace workspace { WorkspaceId("guides"), ResidencyRuleId("home"), {}, {} };
        const ResidencyRule rule { ResidencyRuleId("home"), { RegionId("khomas"), RegionId("omaheke") } };
        return { Revision(1), { { "workspaces", "guides", Revision(1), workspace }, { "residency", "home", Revision(1), rule }, { "routes", "narrative", Revision(1), route }, { "backend_servers", "engine", Revision(1), engine } } };
    }

    void addMember(const std::string& id, const std::string& region, MemberState state)
    {
        view_.instances.push_back({ InstanceId(id), RegionId(region), DataCentreId(region + "-1"), {}, {}, state });
    }

    Place decide(HopsLeft hops = HopsLeft::One)
    {
        const auto idle = [](const BackendServerId&) { return 0U; };
        const PlaceQuery query { snapshot_, view_, here_, workspace_, *snapshot_.findRoute(RouteId("narrative")), hops, 7, idle };
        return decidePlace(query, strategy_);
    }

    const Snapshot snapshot_ { makeSnapshot() };
    const InstanceIdentity here_ { InstanceId("khomas-a"), RegionId("khomas"), DataCentreId("khomas-1") };
    const WorkspaceId workspace_ { "guides" };
    MembershipView view_;
    FirstStrategy strategy_;
};

} // namespace

TEST_F(PlaceDecisionTest, ForwardsToASuspectedInstanceOnlyIfThereIsNoOther)
{
    addMember("omaheke-a", "omaheke", MemberState::Suspected);
    EXPECT_EQ(std::get<ForwardTo>(decide()).instance, InstanceId("omaheke-a"));
    addMember("omaheke-b", "omaheke", MemberState::Live);
    EXPECT_EQ(std::get<ForwardTo>(decide()).instance, InstanceId("omaheke-b"));
}

TEST_F(PlaceDecisionTest, NeverForwardsToALeavingInstanceOrASecondTime)
{
    addMember("omaheke-a", "omaheke", MemberState::Leaving);
    EXPECT_EQ(std::get<RefuseRequest>(decide()).code, ResultCode::NoBackendServer);
    addMember("omaheke-b", "omaheke", MemberState::Live);
    EXPECT_EQ(std::get<RefuseRequest>(decide(HopsLeft::None)).code, ResultCode::NoBackendServer);
}

} // namespace Ibisturn
