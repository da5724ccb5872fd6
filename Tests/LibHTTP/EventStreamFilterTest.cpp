#include <LibCore/Error.h>
#include <LibHTTP/Backends/EventStreamFilter.h>

#include <ctime>

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

// Guards against a server that occupies an instance's processor with an event in very small parts.
TEST(EventStreamFilter, TakesTimeInProportionToTheSizeOfAnEvent)
{
    const auto processorTime = [](std::size_t parts) {
        EventStreamFilter filter;
        const auto start = std::clock();
        for (std::size_t part = 0; part < parts; ++part)
            filter.take("x");
        return static_cast<double>(std::clock() - start);
    };
    constexpr std::size_t parts = 60'000;
    constexpr double times = 4;
    // In proportion means four times as long; the square of it would be sixteen times.
    EXPECT_LT(processorTime(static_cast<std::size_t>(times) * parts), 2 * times * processorTime(parts));
}

} // namespace Ibisturn
