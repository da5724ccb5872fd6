#include <LibHTTP/Operators/EntryLog.h>

#include <gtest/gtest.h>

namespace Ibisturn::Testing {

namespace {

const CallerLocation caller { RegionId("khomas"), DataCentreId("khomas-a") };

Member memberIn(const std::string& region)
{
    return { InstanceId(region + "-1"), RegionId(region), DataCentreId(region + "-a"), {}, {}, MemberState::Live };
}

/// The lines that an answer with `entries` writes.
std::string linesFor(Metrics& metrics, const std::vector<Member>& entries, const MembershipView* membership)
{
    const HostRegions regions { 10, { { RegionId("khomas"), 10 }, { RegionId("erongo"), 4 } } };
    testing::internal::CaptureStdout();
    EntryLog(metrics).record({ "tours.example", caller, regions, entries, membership, Revision(7) });
    return testing::internal::GetCapturedStdout();
}

} // namespace

TEST(EntryLog, AnAnswerThatLeadsCallersOutOfTheirRegionShowsTheRulesThatItRestsOn)
{
    Metrics metrics;
    MembershipView membership;
    membership.restartingRegions = { RegionId("omaheke") };
    const auto lines = linesFor(metrics, { memberIn("erongo") }, &membership);
    for (const auto* field : { "caller_region=khomas", "region=erongo", "weight_refused=6", "weight=10", "restarting=omaheke", "configuration=7" })
        EXPECT_NE(lines.find(field), std::string::npos) << field << " is not in " << lines;
    EXPECT_NE(metrics.render().find("ibisturn_directory_answers_total{names=\"other_region\"} 1"), std::string::npos);
}

TEST(EntryLog, AnAnswerThatNamesNobodyShowsWhetherTheFleetIsKnown)
{
    Metrics metrics;
    EXPECT_NE(linesFor(metrics, {}, nullptr).find("known=false"), std::string::npos);
    MembershipView membership;
    membership.instances = { memberIn("erongo") };
    const auto lines = linesFor(metrics, {}, &membership);
    EXPECT_NE(lines.find("known=true"), std::string::npos);
    EXPECT_NE(lines.find("live=1"), std::string::npos);
    EXPECT_NE(metrics.render().find("ibisturn_directory_answers_total{names=\"nobody\"} 2"), std::string::npos);
}

TEST(EntryLog, AnAnswerInTheCallersRegionIsCountedAndNotLogged)
{
    Metrics metrics;
    const MembershipView membership;
    EXPECT_EQ(linesFor(metrics, { memberIn("khomas") }, &membership), "");
    EXPECT_NE(metrics.render().find("ibisturn_directory_answers_total{names=\"own_region\"} 1"), std::string::npos);
}

} // namespace Ibisturn::Testing
