#include <LibHTTP/Callers/CompletionScanner.h>

#include <LibCore/Error.h>
#include <Tests/Support/Cases.h>

#include <optional>

namespace Ibisturn {

namespace {

using Testing::forEachCase;
using Testing::Random;

const std::string validBody = R"({"model":"narrative","stream":true,"max_tokens":16,"messages":[{"role":"user","content":"Tell me \u00e9."}],"temperature":0.5})";

/// Returns the code with which a body is refused, or nothing if it is accepted. Any other exception fails the test.
std::optional<ResultCode> refusalOf(const std::string& body)
{
    try {
        scanCompletion(body);
    } catch (const Error& error) {
        EXPECT_EQ(error.ran(), Ran::No);
        EXPECT_TRUE(error.code() == ResultCode::MalformedBody || error.code() == ResultCode::BodyTooDeep);
        return error.code();
    }
    return std::nullopt;
}

std::string nested(std::size_t depth)
{
    return R"({"a":)" + std::string(depth, '[') + std::string(depth, ']') + "}";
}

} // namespace

TEST(CompletionScanner, FindsTheOutermostModelOnly)
{
    EXPECT_EQ(scanCompletion(validBody).model, ModelName("narrative"));
    EXPECT_EQ(scanCompletion(R"({"tools":[{"model":"other"}],"model":"narrative"})").model, ModelName("narrative"));
    EXPECT_EQ(scanCompletion(R"({"tools":{"model":"other"}})").model, ModelName());
}

TEST(CompletionScanner, RefusesAmbiguousBodies)
{
    for (const auto* body : { "", "[]", "null", "\"model\"", "{}{}", R"({"model":"a","model":"b"})", R"({"model":5})", R"({"model":["a"]})",
             R"({"model":{"model":"a"}})", R"({"model":null})", R"({"max_tokens":1e999})", "{\"model\":\"\xff\"}", "\xff\xfe{\"model\":\"a\"}" })
        EXPECT_EQ(refusalOf(body), ResultCode::MalformedBody) << body;
}

TEST(CompletionScanner, LimitsNestingDepth)
{
    EXPECT_EQ(refusalOf(nested(31)), std::nullopt);
    EXPECT_EQ(refusalOf(nested(32)), ResultCode::BodyTooDeep);
    EXPECT_EQ(refusalOf(nested(1'000'000)), ResultCode::BodyTooDeep);
}

TEST(CompletionScanner, MutatedBodiesAreAcceptedOrRefused)
{
    const std::vector<std::string> tokens { "null", "1e999", "-", "\"model\":", "\\ud800", "\xff", "[", "{", std::string(100, '['), std::string(1, '\0') };
    forEachCase([&tokens](Random& random) { refusalOf(Testing::mutate(random, validBody, tokens)); });
}

} // namespace Ibisturn
