#include <LibHTTP/AnswerFormat.h>

#include <gtest/gtest.h>

namespace Ibisturn {

TEST(AnswerFormat, HeadTellsHowTheAnswerEnds)
{
    EXPECT_EQ(formatHead({ 200, "application/json", 15 }), "HTTP/1.1 200 OK\r\nContent-Type: application/json\r\nContent-Length: 15\r\n\r\n");
    EXPECT_EQ(formatHead({ 200, "text/event-stream", std::nullopt }), "HTTP/1.1 200 OK\r\nContent-Type: text/event-stream\r\nTransfer-Encoding: chunked\r\n\r\n");
    EXPECT_EQ(formatHead({ 204, "", 0 }), "HTTP/1.1 204 No Content\r\n\r\n");
    EXPECT_EQ(framingOf({ 204, "", std::nullopt }), AnswerFraming::NoBody);
}

} // namespace Ibisturn
