#include <LibCore/Span.h>

#include <Tests/Support/Cases.h>

#include <regex>

namespace Ibisturn {

namespace {

using Testing::forEachCase;
using Testing::Random;

const std::string validHeader = "00-4bf92f3577b34da6a3ce929d0e0e4736-00f067aa0ba902b7-01";

} // namespace

TEST(Traceparent, SurvivesRoundTrip)
{
    forEachCase([](Random& random) {
        const TraceContext context { fmt::format("{:016x}{:016x}", random(), random() | 1), fmt::format("{:016x}", random() | 1) };
        const auto parsed = parseTraceparent(formatTraceparent(context));
        ASSERT_TRUE(parsed);
        ASSERT_EQ(parsed->traceId, context.traceId);
        ASSERT_EQ(parsed->spanId, context.spanId);
    });
}

TEST(Traceparent, MutatedHeadersAreIgnoredUnlessWellFormed)
{
    const std::regex wellFormed("00-[0-9a-f]{32}-[0-9a-f]{16}-[0-9a-f]{2}");
    forEachCase([&wellFormed](Random& random) {
        const auto header = Testing::mutate(random, validHeader, { "-", "0", "g", "A", "ff" });
        ASSERT_TRUE(!parseTraceparent(header) || std::regex_match(header, wellFormed)) << header;
    });
    EXPECT_FALSE(parseTraceparent("00-4bf92f3577b34da6a3ce929d0e0e4736x00f067aa0ba902b7-01"));
    EXPECT_FALSE(parseTraceparent("00-4bf92f3577b34da6a3ce929d0e0e4736-00f067aa0ba902b7-zz"));
    EXPECT_FALSE(parseTraceparent("00-00000000000000000000000000000000-00f067aa0ba902b7-01"));
}

TEST(Span, AttributesThatAreNotUtf8CanBeExported)
{
    Span span("backend", std::nullopt);
    span.setAttribute("backend_server", "engine-\xff\xfe");
    EXPECT_NE(span.toJson().find("engine-"), std::string::npos);
}

} // namespace Ibisturn
