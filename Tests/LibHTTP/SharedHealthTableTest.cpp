#include <LibHTTP/Backends/SharedHealthTable.h>

#include <gtest/gtest.h>

namespace Ibisturn {

namespace {

using namespace std::chrono_literals;

constexpr TimePoint start {};
const BackendServerId engine("engine");
const BackendServerId replica("replica");
const RouteId route("narrative");

Record backendRecord(const BackendServerId& id)
{
    BackendServer server;
    server.id = id;
    server.routes = { route };
    return { "backend_servers", id.value(), Revision(1), server };
}

class SharedHealthTableTest : public testing::Test {
protected:
    MembershipPointer usableAt(TimePoint now) const { return health_.withoutUnhealthy(view_, snapshot_, route, lifecycle_, now); }

    SharedHealthTable health_;
    Snapshot snapshot_ { Revision(1), { backendRecord(engine), backendRecord(replica) } };
    MembershipPointer view_ { std::make_shared<const MembershipView>(MembershipView { { Member { InstanceId("omaheke-1") } }, {} }) };
    RequestLifecycle lifecycle_ { RequestLimits { HopsLeft::One, start + 100s, [](TimePoint) { return true; } } };
};

} // namespace

TEST_F(SharedHealthTableTest, ReturnsTheSameViewIfAllAreHealthy)
{
    EXPECT_EQ(usableAt(start), view_);
}

TEST_F(SharedHealthTableTest, HidesLeavingAndFailedTargets)
{
    health_.recordDispatch(RunHere { engine });
    health_.recordEvidence(RunHere { engine }, AttemptEvidence::Failure, start);
    health_.recordEvidence(ForwardTo { InstanceId("omaheke-1") }, AttemptEvidence::Leaving, start);
    const auto usable = usableAt(start);
    EXPECT_TRUE(usable->leavingBackendServers.contains(engine));
    EXPECT_FALSE(usable->leavingBackendServers.contains(replica));
    EXPECT_EQ(usable->find(InstanceId("omaheke-1"))->state, MemberState::Leaving);
    EXPECT_FALSE(usableAt(start + 2s)->leavingBackendServers.contains(engine)) << "returns with one request";
}

TEST_F(SharedHealthTableTest, HidesBackendServersThatFailedThisRequest)
{
    lifecycle_.handle(HeadRead {}, start);
    lifecycle_.handle(BodyRead {}, start);
    lifecycle_.handle(PlaceChosen { RunHere { replica } }, start);
    lifecycle_.handle(AttemptFailed { AttemptId(1), ResultCode::BackendUnreachable, Ran::No }, start);
    EXPECT_TRUE(usableAt(start)->leavingBackendServers.contains(replica));
}

} // namespace Ibisturn
