#include <LibDecision/Streams/StreamLifetime.h>

#include <gtest/gtest.h>

namespace Ibisturn::Testing {

namespace {

using namespace std::chrono_literals;

Record routeRecord(const std::string& name, ResumeSupport resume, Duration timeout)
{
    Route route;
    route.id = RouteId(name);
    route.pathPrefix = "/" + name;
    route.policy.emplace();
    route.policy->host = "host";
    route.policy->resume = resume;
    route.policy->timeout = timeout;
    return { "routes", name, Revision(1), route };
}

} // namespace

// Guards against origins that are forgotten while callers may still resume their streams.
TEST(StreamLifetime, IsTwiceTheLongestTimeoutOfRoutesWithResumableStreams)
{
    Route withoutPolicy;
    withoutPolicy.id = RouteId("plain");
    const std::vector<Record> records { { "routes", "plain", Revision(1), withoutPolicy }, routeRecord("short", ResumeSupport::Supported, 9s),
        routeRecord("long", ResumeSupport::Supported, 12s), routeRecord("whole", ResumeSupport::Unsupported, 60s) };
    EXPECT_EQ(streamLifetimeOf(Snapshot(Revision(1), records)), 24s);
}

TEST(StreamLifetime, IsAtLeastSomeSeconds)
{
    EXPECT_GE(streamLifetimeOf(Snapshot(Revision(1), {})), 5s);
    EXPECT_GE(streamLifetimeOf(Snapshot(Revision(1), { routeRecord("brief", ResumeSupport::Supported, 10ms) })), 5s);
}

} // namespace Ibisturn::Testing
