#include <LibConfiguration/Declarations.h>
#include <LibConfiguration/SettingsError.h>

#include <gtest/gtest.h>

namespace Ibisturn::Testing {

namespace {

std::string errorOf(const std::string& text)
{
    try {
        parseDeclarations(text, "records.yaml");
    } catch (const SettingsError& error) {
        return error.what();
    }
    return "";
}

} // namespace

TEST(Declarations, YamlAndJsonDeclareTheSameRecord)
{
    const auto yaml = parseDeclarations("kind: workspaces\nname: guides\nrecord: {schema: 1, residency: '7', rate: 2.5, burst: 10}\n", "a.yaml");
    const auto json = parseDeclarations(R"([{"kind":"workspaces","name":"guides","record":{"schema":1,"residency":"7","rate":2.5,"burst":10}}])", "a.json");
    ASSERT_EQ(yaml.size(), 1U);
    ASSERT_EQ(json.size(), 1U);
    EXPECT_EQ(yaml.front().json, json.front().json);
    EXPECT_NO_THROW(parseRecord("workspaces", "guides", yaml.front().json, Revision(1)));
}

TEST(Declarations, ErrorNamesFileAndLine)
{
    EXPECT_EQ(errorOf("kind: keys\nname: a\n"), "records.yaml:1: must be a mapping with kind, name and record");
    EXPECT_EQ(errorOf("- {kind: routes, name: a, record: {}}\n- {kind: x, name: a, record: {}}\n"), "records.yaml:2: kind 'x' is unknown");
    EXPECT_TRUE(errorOf("a: [").starts_with("records.yaml:"));
}

TEST(Declarations, DifferencesAreInDependencyOrder)
{
    const auto declared = parseDeclarations("- {kind: keys, name: k, record: {workspace: w}}\n- {kind: workspaces, name: w, record: {residency: r}}\n"
                                            "- {kind: residency, name: r, record: {regions: [a]}}\n- {kind: routes, name: same, record: {path: /}}\n",
        "a.yaml");
    const std::vector<CurrentRecord> current { { { "routes", "same" }, R"({ "path" : "/" })", Revision(3) }, { { "residency", "old" }, "{}", Revision(4) },
        { { "workspaces", "old" }, "{}", Revision(5) } };
    const auto differences = compareDeclarations(declared, current, Pruning::Delete);
    std::vector<std::string> names;
    names.reserve(differences.size());
    for (const auto& difference : differences)
        names.push_back((difference.after ? "" : "-") + difference.name.kind);
    EXPECT_EQ(names, (std::vector<std::string> { "residency", "workspaces", "keys", "-workspaces", "-residency" }));
    EXPECT_EQ(compareDeclarations(declared, current, Pruning::Keep).size(), 3U);
}

} // namespace Ibisturn::Testing
