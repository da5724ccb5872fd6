#include <LibHTTP/Callers/AnswerFormat.h>

#include <gtest/gtest.h>

namespace Ibisturn {

namespace {

AnswerHead headOf(unsigned status, std::string contentType, std::optional<std::uint64_t> contentLength)
{
    AnswerHead head;
    head.status = status;
    head.contentType = std::move(contentType);
    head.contentLength = contentLength;
    return head;
}

} // namespace

TEST(AnswerFormat, HeadDeclaresTheFraming)
{
    EXPECT_EQ(formatHead(headOf(200, "application/json", 15), AfterAnswer::KeepAlive), "HTTP/1.1 200 OK\r\nContent-Type: application/json\r\nContent-Length: 15\r\n\r\n");
    EXPECT_EQ(formatHead(headOf(200, "text/event-stream", std::nullopt), AfterAnswer::KeepAlive), "HTTP/1.1 200 OK\r\nContent-Type: text/event-stream\r\nTransfer-Encoding: chunked\r\n\r\n");
    EXPECT_EQ(formatHead(headOf(204, "", 0), AfterAnswer::KeepAlive), "HTTP/1.1 204 No Content\r\n\r\n");
    EXPECT_EQ(framingOf(headOf(204, "", std::nullopt)), AnswerFraming::NoBody);
}

TEST(AnswerFormat, EventStreamIsChunkedWhateverItsLength)
{
    EXPECT_EQ(framingOf(headOf(200, "text/event-stream", 15)), AnswerFraming::Chunks);
}

TEST(AnswerFormat, HeadAnnouncesConnectionClose)
{
    EXPECT_NE(formatHead(headOf(200, "", 0), AfterAnswer::Close).find("Connection: close\r\n"), std::string::npos);
}

} // namespace Ibisturn
