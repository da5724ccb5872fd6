#include <LibCore/ResultCode.h>

#include <algorithm>
#include <fstream>
#include <set>
#include <sstream>

#include <fmt/format.h>
#include <gtest/gtest.h>

namespace Ibisturn {

namespace {

std::set<std::string> documentedRows()
{
    std::ifstream file(IBISTURN_SOURCE_FOLDER "/docs/RESULT-CODES.md");
    std::set<std::string> rows;
    for (std::string line; std::getline(file, line);) {
        if (line.starts_with("| ") && line.size() > 2 && std::isdigit(static_cast<unsigned char>(line[2])))
            rows.insert(line);
    }
    return rows;
}

} // namespace

TEST(ResultCode, DocumentationListsEachCodeAndNoOther)
{
    std::set<std::string> expected;
    for (const auto& row : resultCodes())
        expected.insert(fmt::format("| {} | `{}` | {} | {} |", static_cast<unsigned>(row.code), row.name, row.httpStatus, row.meaning));
    EXPECT_EQ(documentedRows(), expected);
}

TEST(ResultCode, NumbersAscendAndNamesDiffer)
{
    std::set<std::string_view> names;
    for (const auto& row : resultCodes())
        names.insert(row.name);
    EXPECT_EQ(names.size(), resultCodes().size());
    const auto isBefore = [](const auto& left, const auto& right) { return left.code < right.code; };
    EXPECT_TRUE(std::is_sorted(resultCodes().begin(), resultCodes().end(), isBefore));
}

TEST(ResultCode, UnassignedNumberIsRejected)
{
    EXPECT_EQ(resultCodeFromNumber(2005), ResultCode::ResidencyRefused);
    EXPECT_FALSE(resultCodeFromNumber(4242));
}

} // namespace Ibisturn
