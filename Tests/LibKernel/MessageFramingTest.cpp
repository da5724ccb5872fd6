#include <LibKernel/MessageFraming.h>

#include <string>
#include <utility>
#include <vector>

#include <gtest/gtest.h>

namespace Ibisturn::Testing {

namespace {

namespace Http = boost::beast::http;

constexpr unsigned httpVersion11 = 11;
constexpr unsigned ok = 200;

using Fields = std::vector<std::pair<Http::field, std::string>>;

Http::fields makeFields(const Fields& list)
{
    Http::fields fields;
    for (const auto& [name, value] : list)
        fields.insert(name, value);
    return fields;
}

Fields codings(const std::string& value)
{
    return { { Http::field::transfer_encoding, value } };
}

const Fields length { { Http::field::content_length, "2" } };
const Fields chunked = codings("chunked");
const std::vector<std::string> onlyChunked { "chunked", "Chunked", "CHUNKED", " \tchunked ", "chunked,", ", ,chunked" };
const std::vector<std::string> notOnlyChunked { "", ",", "gzip", "identity", "xchunked", "chunkedx", "chunked, gzip", "gzip, chunked", "identity, chunked", "chunked, chunked",
    "chunked chunked", "chunked gzip", "gzip chunked", "chunked;q=1", "chunked;", "\"chunked\"", "chun ked", "chunked\x0b", "chunked\xa0",
    "chunked\r", "[chunked]" };

} // namespace

// RFC 9112, sections 6.1 and 6.3: a request ends where its head, its length or its chunks say, or nobody knows where.
TEST(MessageFraming, ARequestEndsWhereItsFieldsSay)
{
    EXPECT_EQ(endOfRequest(httpVersion11, makeFields({})), MessageEnd::Head);
    EXPECT_EQ(endOfRequest(httpVersion10, makeFields({})), MessageEnd::Head);
    EXPECT_EQ(endOfRequest(httpVersion11, makeFields(length)), MessageEnd::ContentLength);
    EXPECT_EQ(endOfRequest(httpVersion10, makeFields(length)), MessageEnd::ContentLength);
    for (const auto& value : onlyChunked)
        EXPECT_EQ(endOfRequest(httpVersion11, makeFields(codings(value))), MessageEnd::LastChunk) << value;
}

TEST(MessageFraming, ARequestWithAnotherTransferCodingHasNoEnd)
{
    for (const auto& value : notOnlyChunked) {
        EXPECT_EQ(endOfRequest(httpVersion11, makeFields(codings(value))), std::nullopt) << value;
        // Such a field takes precedence over a length.
        auto fields = codings(value);
        fields.push_back(length.front());
        EXPECT_EQ(endOfRequest(httpVersion11, makeFields(fields)), std::nullopt) << value;
    }
    EXPECT_EQ(endOfRequest(httpVersion10, makeFields(chunked)), std::nullopt);
    EXPECT_EQ(endOfRequest(httpVersion11, makeFields({ chunked.front(), length.front() })), std::nullopt);
}

TEST(MessageFraming, AllFieldsWithTransferCodingsCount)
{
    const auto both = [](const std::string& first, const std::string& second) {
        return makeFields({ codings(first).front(), codings(second).front() });
    };
    EXPECT_EQ(endOfRequest(httpVersion11, both("gzip", "chunked")), std::nullopt);
    EXPECT_EQ(endOfRequest(httpVersion11, both("chunked", "gzip")), std::nullopt);
    EXPECT_EQ(endOfRequest(httpVersion11, both("chunked", "chunked")), std::nullopt);
    EXPECT_EQ(endOfRequest(httpVersion11, both("", "chunked")), MessageEnd::LastChunk);
}

TEST(MessageFraming, AnAnswerEndsWhereItsStatusAndFieldsSay)
{
    EXPECT_EQ(endOfAnswer(httpVersion11, ok, makeFields({})), MessageEnd::ConnectionClose);
    EXPECT_EQ(endOfAnswer(httpVersion11, ok, makeFields(length)), MessageEnd::ContentLength);
    EXPECT_EQ(endOfAnswer(httpVersion11, ok, makeFields(chunked)), MessageEnd::LastChunk);
    EXPECT_EQ(endOfAnswer(httpVersion10, ok, makeFields(chunked)), std::nullopt);
    EXPECT_EQ(endOfAnswer(httpVersion11, ok, makeFields({ chunked.front(), length.front() })), std::nullopt);
    for (const auto& value : notOnlyChunked)
        EXPECT_EQ(endOfAnswer(httpVersion11, ok, makeFields(codings(value))), std::nullopt) << value;
    for (const unsigned status : { 100U, 103U, 204U, 304U }) {
        for (const auto& fields : { Fields {}, length, chunked })
            EXPECT_EQ(endOfAnswer(httpVersion11, status, makeFields(fields)), MessageEnd::Head) << status;
    }
}

TEST(MessageFraming, AnAnswerWithoutBodyMayAnnounceOne)
{
    for (const unsigned status : { 204U, 304U }) {
        EXPECT_FALSE(announcesForbiddenBody(status, makeFields({}))) << status;
        EXPECT_FALSE(announcesForbiddenBody(status, makeFields({ { Http::field::content_length, "0" } }))) << status;
        EXPECT_TRUE(announcesForbiddenBody(status, makeFields(length))) << status;
        EXPECT_TRUE(announcesForbiddenBody(status, makeFields(chunked))) << status;
    }
    EXPECT_FALSE(announcesForbiddenBody(ok, makeFields(length)));
}

} // namespace Ibisturn::Testing
