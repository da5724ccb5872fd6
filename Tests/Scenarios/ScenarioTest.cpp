#include "ScenarioRunner.h"

#include <algorithm>
#include <filesystem>

#include <gtest/gtest.h>

namespace Ibisturn::Scenarios {

namespace {

std::vector<std::string> scenarioFiles()
{
    std::vector<std::string> files;
    for (const auto& entry : std::filesystem::directory_iterator(IBISTURN_SOURCE_FOLDER "/Tests/Scenarios")) {
        if (entry.path().extension() == ".yaml")
            files.push_back(entry.path().string());
    }
    std::sort(files.begin(), files.end());
    return files;
}

std::string nameOf(const testing::TestParamInfo<std::string>& info)
{
    auto name = std::filesystem::path(info.param).stem().string();
    std::replace(name.begin(), name.end(), '-', '_');
    return name;
}

std::string parseErrorOf(const std::string& steps)
{
    try {
        parseScenario("title: t\ndeployment: thatch_trust\nsteps:\n" + steps, "s.yaml");
    } catch (const std::runtime_error& error) {
        return error.what();
    }
    return "";
}

} // namespace

class ScenarioRun : public testing::TestWithParam<std::string> {
};

TEST_P(ScenarioRun, Holds)
{
    const auto scenario = loadScenario(GetParam());
    ScenarioRunner runner(scenario);
    runner.run();
}

INSTANTIATE_TEST_SUITE_P(Files, ScenarioRun, testing::ValuesIn(scenarioFiles()), nameOf);

TEST(ScenarioParser, ErrorsNameFileAndLine)
{
    EXPECT_EQ(parseErrorOf("  - kill: {process: a}\n  - explode: {process: a}\n"), "s.yaml:5: unknown step 'explode'");
    EXPECT_EQ(parseErrorOf("  - kill: {process: a, twice: 1}\n"), "s.yaml:4: unknown key 'twice'");
    EXPECT_EQ(parseErrorOf("  - kill: {}\n"), "s.yaml:4: 'process' is missing");
    EXPECT_EQ(parseErrorOf("  - store: {down: maybe}\n"), "s.yaml:4: 'down' must be true or false");
    EXPECT_EQ(parseErrorOf("  - cut: {instance: a, to: moon}\n"), "s.yaml:4: 'to' must be store or peers");
    EXPECT_EQ(parseErrorOf("  - request: {at: a, expect: {status: ok}}\n"), "s.yaml:4: 'status' must be a whole number");
    EXPECT_EQ(parseErrorOf("  - kill: {process: a}\n"), "");
}

} // namespace Ibisturn::Scenarios
