#include <LibConfiguration/Records.h>

#include <LibCore/Error.h>
#include <Tests/Support/Cases.h>

namespace Ibisturn {

namespace {

using Testing::forEachCase;
using Testing::Random;

struct Example {
    std::string kind;
    std::string name;
    std::string json;
};

const std::string digest(64, 'a');

const std::vector<Example> validRecords {
    { "workspaces", "trust", R"({"schema":1,"residency":"home","rate":100.5,"burst":2000})" },
    { "keys", digest, R"({"schema":1,"workspace":"trust"})" },
    { "residency", "home", R"({"schema":1,"regions":["khomas","erongo"]})" },
    { "routes", "chat", R"({"schema":1,"path":"/v1/chat","model":"narrative","kind":"engine","access":"workspaces","repeatability":"idempotent","workspaces":["trust"]})" },
    { "backend_servers", "e1", R"({"schema":1,"kind":"engine","endpoint":"127.0.0.1:80","region":"khomas","data_centre":"k1","routes":["chat"],"fencing":"checked"})" },
};

const std::vector<Example> invalidRecords {
    { "workspaces", "w", R"({"schema":1,"residency":"","rate":1,"burst":1})" },
    { "workspaces", "w", R"({"schema":1,"residency":"home","rate":-1,"burst":1})" },
    { "workspaces", "w", R"({"schema":1,"residency":"home","rate":1,"burst":1e300})" },
    { "workspaces", "w", R"({"schema":1,"residency":"home","rate":1e300,"burst":1})" },
    { "workspaces", "w", R"({"schema":1,"residency":"home","rate":1e999,"burst":1})" },
    { "workspaces", "w", R"({"schema":1,"residency":["home"],"rate":1,"burst":1})" },
    { "workspaces", "w", "{\"schema\":1,\"residency\":\"\xff\",\"rate\":1,\"burst\":1}" },
    { "workspaces", "w", R"({"schema":-1})" },
    { "workspaces", "w", R"({"schema":1.5})" },
    { "workspaces", "w", "[]" },
    { "workspaces", "w", "" },
    { "keys", std::string(64, 'z'), R"({"schema":1,"workspace":"trust"})" },
    { "keys", std::string(64, 'A'), R"({"schema":1,"workspace":"trust"})" },
    { "residency", "home", R"({"schema":1,"regions":[]})" },
    { "residency", "home", R"({"schema":1,"regions":"khomas"})" },
    { "residency", "home", R"({"schema":1,"regions":[""]})" },
    { "routes", "r", R"({"schema":1,"path":"v1"})" },
    { "routes", "r", R"({"schema":1,"path":"/","access":"everyone"})" },
    { "backend_servers", "e1", R"({"schema":1,"endpoint":"127.0.0.1","region":"a","data_centre":"b"})" },
    { "backend_servers", "e1", R"({"schema":1,"endpoint":"127.0.0.1:80000","region":"a","data_centre":"b"})" },
    { "backend_servers", "e1", R"({"schema":1,"endpoint":"127.0.0.1\u0000\r\nX: y:80","region":"a","data_centre":"b"})" },
    { "other", "x", R"({"schema":1})" },
};

/// Whether the record is parsed. Any exception other than Error with RecordInvalid fails the test.
bool isRead(const Example& example)
{
    try {
        parseRecord(example.kind, example.name, example.json, Revision(1));
        return true;
    } catch (const Error& error) {
        EXPECT_EQ(error.code(), ResultCode::RecordInvalid);
        EXPECT_TRUE(std::string_view(error.what()).starts_with(example.kind + "/" + example.name + ":")) << error.what();
        return false;
    }
}

} // namespace

TEST(Records, ValidOnesAreRead)
{
    for (const auto& example : validRecords)
        EXPECT_TRUE(isRead(example)) << example.json;
}

TEST(Records, InvalidOnesAreRefusedByName)
{
    for (const auto& example : invalidRecords)
        EXPECT_FALSE(isRead(example)) << example.kind << " " << example.json;
}

TEST(Records, SchemaThatDoesNotFitANumberFailsClosed)
{
    const auto record = parseRecord("residency", "home", R"({"schema":4294967297,"regions":["anywhere"]})", Revision(1));
    EXPECT_TRUE(std::holds_alternative<UnknownRecord>(record.body));
}

TEST(Records, MutatedOnesAreReadOrRefused)
{
    const std::vector<std::string> tokens { "null", "1e999", "-1", "18446744073709551616", "\"\"", "{", "[", "\\u0000", "\xff\xfe", "\"schema\":2,", std::string(2000, '[') };
    forEachCase([&tokens](Random& random) {
        auto example = Testing::randomElement(random, validRecords);
        example.json = Testing::mutate(random, example.json, tokens);
        isRead(example);
    });
}

TEST(Records, UnknownSchemaKeepsAllItsDigits)
{
    constexpr std::uint64_t schema = 4'294'967'297;
    const auto record = parseRecord("routes", "new", fmt::format(R"({{"schema":{},"path":"/"}})", schema), Revision(1));
    const auto* unknown = std::get_if<UnknownRecord>(&record.body);
    ASSERT_TRUE(unknown);
    EXPECT_EQ(unknown->schema, schema);
}

} // namespace Ibisturn
