#include <LibCore/Log.h>

#include <gtest/gtest.h>

namespace Ibisturn::Testing {

namespace {

constexpr Log testLog("test");

std::string written(const std::string& value)
{
    testing::internal::CaptureStdout();
    testLog.warning("Line.", { { "value", value } });
    const auto line = testing::internal::GetCapturedStdout();
    return line.substr(line.find("value="));
}

} // namespace

// A name from outside must not end a line, or begin another field.
TEST(Log, ValuesStayWithinTheirField)
{
    EXPECT_EQ(written("plain"), "value=plain\n");
    EXPECT_EQ(written("a b"), "value=\"a b\"\n");
    EXPECT_EQ(written("a\r\nb\" c=\\"), "value=\"a  b\\\" c=\\\\\"\n");
    EXPECT_EQ(written(std::string("a\0b", 3)), "value=\"a b\"\n");
    EXPECT_EQ(written("a\x1b[2Jb"), "value=\"a [2Jb\"\n");
}

TEST(Log, LongValuesAreCut)
{
    EXPECT_EQ(written(std::string(4096, 'x')).size(), 4096U + std::string("value=\n").size());
    EXPECT_EQ(written(std::string(1'000'000, 'x')).size(), 4096U + std::string("value=...\n").size());
}

} // namespace Ibisturn::Testing
