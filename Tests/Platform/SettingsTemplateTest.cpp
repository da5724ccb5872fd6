#include <LibConfiguration/Settings.h>
#include <LibConfiguration/SettingsError.h>

#include <fstream>
#include <map>
#include <regex>
#include <sstream>

#include <fmt/format.h>
#include <gtest/gtest.h>

namespace Ibisturn::Testing {

namespace {

using namespace std::chrono_literals;

using Values = std::map<std::string, std::string>;

const Values usualValues {
    { "Node", "front-khomas-a-1" },
    { "Region", "khomas" },
    { "Zone", "khomas-a" },
    { "Ip", "10.1.0.25" },
    { "Listen.Front", "10.1.0.25:8221" },
    { "Listen.Ready", "10.1.0.25:8224" },
    { "Listen.Directory", "10.1.0.25:8220" },
    { "PortRange.0", "7600" },
    { "PortRange.1", "7615" },
    { "Platform.Addr", "10.200.1.7:8225" },
    { "Limits.CpuShare", "0.25" },
    { "Limits.Cores", "2" },
    { "Limits.MemoryMb", "260" },
    { "Limits.MaxFds", "4100" },
    { "Bounds.RetryBudgetRatio", "0.2" },
    { "Bounds.BudgetExtra", "58" },
    { "Bounds.BudgetWindowS", "10" },
    { "Bounds.QuotaWindowS", "8" },
    { "Bounds.QuotaOver", "0.1" },
    { "Bounds.QuotaSlack", "140000" },
    { "Bounds.DrainMs", "3000" },
    { "Bounds.GraceS", "8" },
};

/// Fills the template of the deployment in as the platform does, with some of the usual values replaced.
std::string fillTemplate(const Values& changed)
{
    const std::ifstream file(IBISTURN_SOURCE_FOLDER "/deploy/settings.yaml");
    std::ostringstream contents;
    contents << file.rdbuf();
    auto text = std::regex_replace(contents.str(), std::regex("\\{\\{#Zones\\}\\}\n([^]*)\\{\\{/Zones\\}\\}\n"), "$1");
    auto values = usualValues;
    values["@"] = "khomas-a";
    values["."] = "khomas";
    for (const auto& [name, value] : changed)
        values[name] = value;
    for (const auto& [name, value] : values) {
        const auto placeholder = "{{" + name + "}}";
        for (auto at = text.find(placeholder); at != std::string::npos; at = text.find(placeholder, at + value.size()))
            text.replace(at, placeholder.size(), value);
    }
    return text;
}

FleetSettings fleetWith(const Values& changed)
{
    return parseSettings(fillTemplate(changed), "s.yaml").fleet.value();
}

} // namespace

TEST(SettingsTemplate, UsualValuesAreTakenAsTheyAre)
{
    const auto settings = parseSettings(fillTemplate({}), "s.yaml");
    EXPECT_EQ(settings.fleet->processorShare, 0.5);
    EXPECT_EQ(settings.fleet->processMemory, ByteCount(260'000'000));
    EXPECT_EQ(settings.fleet->processDescriptors, 4100U);
    EXPECT_EQ(settings.fleet->retryReserve, 58U);
    EXPECT_EQ(settings.fleet->shutdownGracePeriod, 8s);
    EXPECT_TRUE(settings.adjustments.empty());
}

TEST(SettingsTemplate, FractionsOfLimitsAreRoundedDown)
{
    const auto settings = parseSettings(fillTemplate({ { "Bounds.BudgetExtra", "48.7" }, { "Bounds.QuotaSlack", "11666.67" } }), "s.yaml");
    EXPECT_EQ(settings.fleet->retryReserve, 48U);
    EXPECT_EQ(settings.fleet->allowanceSlack, 11666U);
    ASSERT_EQ(settings.adjustments.size(), 2U);
    EXPECT_TRUE(settings.adjustments[0].starts_with("s.yaml:18: fleet.retries.reserve 48.7 is rounded down to 48")) << settings.adjustments[0];
}

TEST(SettingsTemplate, FractionsOfDurationsAreKept)
{
    const auto fleet = fleetWith({ { "Bounds.BudgetWindowS", "7.5" }, { "Bounds.DrainMs", "2500.5" }, { "Bounds.GraceS", "1e1" } });
    EXPECT_EQ(fleet.retryWindow, 7500ms);
    EXPECT_EQ(fleet.backendDrainPeriod, 2500500us);
    EXPECT_EQ(fleet.shutdownGracePeriod, 10s);
}

TEST(SettingsTemplate, ZeroLimitsAreKeptAndZeroWindowsReplaced)
{
    const Values zero { { "Bounds.RetryBudgetRatio", "0" }, { "Bounds.BudgetExtra", "0" }, { "Bounds.QuotaOver", "0" }, { "Bounds.QuotaSlack", "0" }, { "Bounds.DrainMs", "0" }, { "Bounds.GraceS", "0" }, { "Bounds.QuotaWindowS", "0" }, { "Bounds.BudgetWindowS", "0" } };
    const auto fleet = fleetWith(zero);
    EXPECT_EQ(fleet.retryRatio, 0);
    EXPECT_EQ(fleet.retryReserve, 0U);
    EXPECT_EQ(fleet.allowanceTolerance, 0);
    EXPECT_EQ(fleet.allowanceSlack, 0U);
    EXPECT_EQ(fleet.backendDrainPeriod, 0s);
    EXPECT_EQ(fleet.shutdownGracePeriod, 0s);
    EXPECT_EQ(fleet.allowanceWindow, FleetSettings().allowanceWindow);
    EXPECT_EQ(fleet.retryWindow, FleetSettings().retryWindow);
}

TEST(SettingsTemplate, AbsentValuesTakeTheDefaults)
{
    for (const auto& [name, value] : usualValues) {
        if (!name.starts_with("Bounds."))
            continue;
        const auto settings = parseSettings(fillTemplate({ { name, "" } }), "s.yaml");
        EXPECT_EQ(settings.adjustments.size(), 1U) << name;
    }
    const auto fleet = fleetWith({ { "Bounds.BudgetExtra", "" }, { "Bounds.QuotaWindowS", "" } });
    EXPECT_EQ(fleet.retryReserve, FleetSettings().retryReserve);
    EXPECT_EQ(fleet.allowanceWindow, FleetSettings().allowanceWindow);
}

TEST(SettingsTemplate, LimitsOfTheProcessThatAreNotStatedAreUnknown)
{
    for (const auto* absent : { "", "0" }) {
        const auto fleet = fleetWith({ { "Limits.MemoryMb", absent }, { "Limits.MaxFds", absent } });
        EXPECT_FALSE(fleet.processMemory);
        EXPECT_FALSE(fleet.processDescriptors);
    }
    EXPECT_EQ(fleetWith({ { "Limits.MemoryMb", "160.5" } }).processMemory, ByteCount(160'000'000));
    EXPECT_EQ(fleetWith({ { "Limits.MaxFds", "1e18" } }).processDescriptors, 16U * 1024 * 1024);
    EXPECT_THROW(fleetWith({ { "Limits.MemoryMb", "-1" } }), SettingsError);
}

TEST(SettingsTemplate, VeryLargeValuesAreLimited)
{
    const auto fleet = fleetWith({ { "Bounds.RetryBudgetRatio", "3" }, { "Bounds.BudgetExtra", "1e18" }, { "Bounds.QuotaSlack", "99999999999999" }, { "Bounds.QuotaOver", "12" }, { "Bounds.GraceS", "1e300" }, { "Bounds.QuotaWindowS", "100000000" } });
    EXPECT_EQ(fleet.retryRatio, 1);
    EXPECT_EQ(fleet.retryReserve, 1'000'000U);
    EXPECT_EQ(fleet.allowanceSlack, 1'000'000'000U);
    EXPECT_EQ(fleet.allowanceTolerance, 1);
    EXPECT_EQ(fleet.shutdownGracePeriod, 24h);
    EXPECT_EQ(fleet.allowanceWindow, 24h);
}

TEST(SettingsTemplate, InvalidValuesAreRefusedWithFileLineAndKey)
{
    const std::map<std::string, std::string> invalid { { "-1", "negative" }, { "many", "text" }, { "nan", "not a number" }, { "inf", "infinite" }, { "[1, 2]", "a list" } };
    for (const auto& [value, reason] : invalid) {
        try {
            parseSettings(fillTemplate({ { "Bounds.BudgetExtra", value } }), "s.yaml");
            FAIL() << reason;
        } catch (const SettingsError& error) {
            EXPECT_TRUE(std::string_view(error.what()).starts_with("s.yaml:18: fleet.retries.reserve ")) << error.what();
        }
    }
    EXPECT_THROW(parseSettings(fillTemplate({ { "Bounds.DrainMs", "-3" } }), "s.yaml"), SettingsError);
}

} // namespace Ibisturn::Testing
