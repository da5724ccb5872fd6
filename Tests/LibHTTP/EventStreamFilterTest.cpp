#include <LibCore/Error.h>
#include <LibHTTP/Backends/EventStreamFilter.h>

#include <gtest/gtest.h>

namespace Ibisturn {

TEST(EventStreamFilter, PassesEachEventOnceAfterATruncatedStream)
{
    EventStreamFilter filter;
    EXPECT_EQ(filter.take("id: 0\ndata: a\n\nid: 1\nda"), "id: 0\ndata: a\n\n");
    filter.restart();
    EXPECT_EQ(filter.lastEvent(), 0U);
    EXPECT_EQ(filter.take("id: 0\ndata: a\n\nid: 1\ndata: b\n"), "");
    EXPECT_EQ(filter.take("\ndata: [DONE]\n\n"), "id: 1\ndata: b\n\ndata: [DONE]\n\n");
    EXPECT_EQ(filter.lastEvent(), 1U);
}

TEST(EventStreamFilter, RejectsAMissingEvent)
{
    EventStreamFilter filter(4);
    EXPECT_THROW(filter.take("id: 6\ndata: a\n\n"), Error);
    EventStreamFilter fresh;
    EXPECT_THROW(fresh.take("id: 1\ndata: a\n\n"), Error);
}

TEST(EventStreamFilter, LimitsTheSizeOfAnEvent)
{
    EventStreamFilter filter;
    EXPECT_THROW(filter.take(std::string(300UL * 1024, 'x')), Error);
}

} // namespace Ibisturn
