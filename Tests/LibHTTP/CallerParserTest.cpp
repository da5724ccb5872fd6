#include <LibHTTP/Callers/CallerParser.h>

#include <string>

#include <gtest/gtest.h>

namespace Ibisturn::Testing {

namespace {

namespace Http = boost::beast::http;

boost::beast::error_code parse(CallerParser& parser, const std::string& text)
{
    boost::beast::error_code error;
    parser.eager(true);
    parser.header_limit(64U * 1024);
    parser.put(boost::asio::buffer(text), error);
    return error;
}

} // namespace

// Guards against callers who fill the instance's memory with fields of a few bytes, each of which takes 24 times as many.
TEST(CallerParser, ReservesWhatTheFieldsOfAHeadNeedBeforeItKeepsThem)
{
    std::string head = "GET / HTTP/1.1\r\n";
    for (int count = 0; count < 4000; ++count)
        head += "a:\r\n";
    CallerParser parser;
    std::uint64_t asked = 0;
    parser.setFieldReservation([&asked](std::uint64_t bytes) {
        asked = bytes;
        return bytes <= 100'000;
    });
    EXPECT_EQ(parse(parser, head + "\r\n"), boost::system::errc::not_enough_memory);
    EXPECT_GT(asked, 100'000U);
    EXPECT_LE(std::distance(parser.get().begin(), parser.get().end()), 100'000 / 97);
}

// A trailer that passed for fields of the head could change what the instance has already decided on.
TEST(CallerParser, DropsTheFieldsOfATrailer)
{
    CallerParser parser;
    EXPECT_FALSE(parse(parser, "POST / HTTP/1.1\r\nHost: a\r\nTransfer-Encoding: chunked\r\n\r\n2\r\nok\r\n0\r\nHost: b\r\nX-Late: c\r\n\r\n"));
    ASSERT_TRUE(parser.is_done());
    EXPECT_EQ(parser.get().body(), "ok");
    EXPECT_EQ(parser.get()[Http::field::host], "a");
    EXPECT_EQ(parser.get().count("X-Late"), 0U);
}

} // namespace Ibisturn::Testing
