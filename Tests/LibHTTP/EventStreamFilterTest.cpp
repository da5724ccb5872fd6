#include <LibCore/Error.h>
#include <LibHTTP/Backends/EventStreamFilter.h>

#include <gtest/gtest.h>

namespace Ibisturn {

TEST(EventStreamFilter, PassesEachEventOnceAcrossACut)
{
    EventStreamFilter gate;
    EXPECT_EQ(gate.take("id: 0\ndata: a\n\nid: 1\nda"), "id: 0\ndata: a\n\n");
    gate.restart();
    EXPECT_EQ(gate.lastEvent(), 0U);
    EXPECT_EQ(gate.take("id: 0\ndata: a\n\nid: 1\ndata: b\n"), "");
    EXPECT_EQ(gate.take("\ndata: [DONE]\n\n"), "id: 1\ndata: b\n\ndata: [DONE]\n\n");
    EXPECT_EQ(gate.lastEvent(), 1U);
}

TEST(EventStreamFilter, NoticesAMissingEvent)
{
    EventStreamFilter gate(4);
    EXPECT_THROW(gate.take("id: 6\ndata: a\n\n"), Error);
    EventStreamFilter fresh;
    EXPECT_THROW(fresh.take("id: 1\ndata: a\n\n"), Error);
}

TEST(EventStreamFilter, BoundsAnEvent)
{
    EventStreamFilter gate;
    EXPECT_THROW(gate.take(std::string(300UL * 1024, 'x')), Error);
}

} // namespace Ibisturn
