#include <LibConfiguration/RecordSet.h>
#include <LibDecision/Routing/HeadDecision.h>
#include <LibDecision/Routing/PlaceDecision.h>

#include <gtest/gtest.h>

namespace Ibisturn::Testing {

namespace {

SnapshotPointer compile(const std::string& unknownRoute)
{
    RecordSet records("/i/");
    records.apply("/i/records/routes/wide", R"({"schema":1,"path":"/","access":"open"})", Revision(1));
    records.apply("/i/records/routes/narrow", unknownRoute, Revision(2));
    return records.compile();
}

} // namespace

TEST(UnknownRecord, RouteOfNewerSchemaIsNotServedByAnOlderWiderOne)
{
    const auto snapshot = compile(R"({"schema":2,"path":"/bookings","guard":"new"})");
    EXPECT_EQ(decideHead(*snapshot, RegionId("r"), { "/bookings/7", {} }).code, ResultCode::KeyMissing);
    const auto* route = findRouteFor(*snapshot, "/bookings/7", ModelName());
    ASSERT_TRUE(route);
    EXPECT_FALSE(canUseRoute(*route, WorkspaceId("guides")));
    EXPECT_EQ(decideHead(*snapshot, RegionId("r"), { "/seats", {} }).code, ResultCode::Ok);
}

TEST(UnknownRecord, RouteWhosePathCannotBeReadClosesEveryPath)
{
    for (const auto* text : { "not JSON", R"({"schema":2,"where":"/bookings"})" }) {
        RecordSet records("/i/");
        records.apply("/i/records/routes/open", R"({"schema":1,"path":"/","access":"open"})", Revision(1));
        records.apply("/i/records/routes/new", text, Revision(2));
        EXPECT_EQ(decideHead(*records.compile(), RegionId("r"), { "/seats", {} }).code, ResultCode::KeyMissing) << text;
    }
}

} // namespace Ibisturn::Testing
