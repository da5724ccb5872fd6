#include <LibCore/Metrics.h>

#include <gtest/gtest.h>

namespace Ibisturn::Testing {

namespace {

using namespace std::chrono_literals;

bool contains(const std::string& text, const std::string& line)
{
    return text.find(line + "\n") != std::string::npos;
}

} // namespace

TEST(Metrics, HistogramsCountUpToEachBound)
{
    Metrics metrics;
    metrics.observe("wait_seconds", 5ms);
    metrics.observe("wait_seconds", 60ms);
    metrics.observe("wait_seconds", 60s);
    const auto text = metrics.render();
    EXPECT_TRUE(contains(text, "# TYPE wait_seconds histogram"));
    EXPECT_TRUE(contains(text, "wait_seconds_bucket{le=\"0.005\"} 1"));
    EXPECT_TRUE(contains(text, "wait_seconds_bucket{le=\"0.05\"} 1"));
    EXPECT_TRUE(contains(text, "wait_seconds_bucket{le=\"0.1\"} 2"));
    EXPECT_TRUE(contains(text, "wait_seconds_bucket{le=\"32\"} 2"));
    EXPECT_TRUE(contains(text, "wait_seconds_bucket{le=\"+Inf\"} 3"));
    EXPECT_TRUE(contains(text, "wait_seconds_count 3"));
}

TEST(Metrics, SeriesOfOneFamilyShareTheirType)
{
    Metrics metrics;
    metrics.increment("ended_total{result=\"ok\"}");
    metrics.increment("ended_total{result=\"failed\"}", 2);
    metrics.set("live", 3);
    EXPECT_EQ(metrics.render(), "# TYPE ended_total counter\nended_total{result=\"failed\"} 2\nended_total{result=\"ok\"} 1\n# TYPE live gauge\nlive 3\n");
}

} // namespace Ibisturn::Testing
