#include <LibCore/UriQuery.h>

#include <gtest/gtest.h>
#include <rapidcheck/gtest.h>

namespace Ibisturn::Testing {

TEST(UriQuery, LeavesOnlyCharactersThatMeanNothingInAQuery)
{
    EXPECT_EQ(encodeQueryValue("servers/i-7f3a.9_c~2"), "servers/i-7f3a.9_c~2");
    EXPECT_EQ(encodeQueryValue("a&b+c#d%41 e=f?g\n\"\x80"), "a%26b%2Bc%23d%2541%20e%3Df%3Fg%0A%22%80");
    EXPECT_EQ(encodeQueryValue(std::string_view("\0", 1)), "%00");
}

TEST(UriQuery, ValuesCannotEndTheirParameter)
{
    EXPECT_EQ(makeTarget("/list", {}), "/list");
    EXPECT_EQ(makeTarget("/list", { { "prefix", "servers/" }, { "after", "servers/a&prefix=b #" } }), "/list?prefix=servers/&after=servers/a%26prefix%3Db%20%23");
}

TEST(UriQuery, DecodesOnlyWholeEscapes)
{
    EXPECT_EQ(decodePercent("%41%2fz"), "A/z");
    EXPECT_EQ(decodePercent("%"), "%");
    EXPECT_EQ(decodePercent("%4"), "%4");
    EXPECT_EQ(decodePercent("%zz%-1%41"), "%zz%-1A");
}

RC_GTEST_PROP(UriQuery, DecodingRestoresEachText, (const std::string& text))
{
    RC_ASSERT(decodePercent(encodeQueryValue(text)) == text);
}

} // namespace Ibisturn::Testing
