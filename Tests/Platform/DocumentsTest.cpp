#include <LibConfiguration/Snapshot.h>
#include <LibCore/Digest.h>
#include <LibCore/Error.h>
#include <LibPlatform/DocumentReader.h>
#include <Tests/Support/Cases.h>

#include <gtest/gtest.h>

namespace Ibisturn::Testing {

namespace {

const std::string configuration = R"({"Version":7,"Routes":[
 {"Name":"short","Host":"barn.example","PathPrefix":"/short/","Kind":"stream","TimeoutMs":3000,"TargetLatencyMs":1200,"Priority":0,"Service":"model","MaxAttempts":1,"Resumable":false,"HomeRegions":["khomas","omaheke"]},
 {"Name":"long","Host":"barn.example","PathPrefix":"/long/","Kind":"stream","TimeoutMs":12000,"Priority":1,"Split":[{"Service":"model","Weight":90},{"Service":"other","Weight":10}],"MaxAttempts":2,"Resumable":true},
 {"Name":"book","Host":"barn.example","PathPrefix":"/book/","Kind":"non_idempotent","Service":"app","Public":true},
 {"Name":"seats","Host":"barn.example","PathPrefix":"/seats/","Kind":"idempotent","Service":"app"},
 {"Name":"odd","Host":"barn.example","PathPrefix":"/odd/","Kind":"of another year","Service":"app"}],
 "Services":[{"Name":"model","HealthPath":"/health","MaxConns":630,"ColdS":3.5,"ColdPerS":4.6,"Engine":{"Slots":128,"KvCapacity":680435,"Stride":7}},{"Name":"app","HealthPath":"/health","MaxConns":110}],
 "Limits":{"MaxHeaderBytes":16384,"MaxBodyBytes":4194304,"HeaderTimeoutMs":3000,"IdleTimeoutMs":15000},
 "Tenants":[{"Name":"guides","ApiKeys":["key-1","key-2"],"Priority":1,"Unit":"token_stream","PlainTokens":200,"RatePerS":1000,"Burst":500,"HomeRegions":["khomas"]},{"Name":"free","ApiKeys":["key-3"]}]})";

Settings settings()
{
    Settings settings;
    settings.fleet.emplace();
    settings.fleet->dataCentres = { { DataCentreId("khomas-a"), RegionId("khomas") }, { DataCentreId("erongo-a"), RegionId("erongo") } };
    return settings;
}

class DocumentsTest : public testing::Test {
protected:
    std::optional<RegisteredServer> server(const std::string& value) const { return reader_->readServer("servers/i-1", value); }

    std::unique_ptr<DocumentReader> reader_ { DocumentReaderRegistry::instance().make("platform", settings()) };
};

const std::string entry = R"({"Service":"model","Addr":"10.1.0.9:8080","Zone":"khomas-a","Version":"v1","Slots":128,"State":"ready","ColdLeftMs":1500,"Seq":4,"born":1700000000123})";

std::string entryWithout(const std::string& part, const std::string& replacement = "")
{
    auto text = entry;
    text.replace(text.find(part), part.size(), replacement);
    return text;
}

} // namespace

TEST_F(DocumentsTest, ReadsAConfiguration)
{
    const auto document = reader_->readConfiguration(configuration, Revision(9));
    EXPECT_EQ(document.version, 7);
    const Snapshot snapshot(Revision(9), document.records);
    const auto* brief = snapshot.findRouteByHostAndPath("barn.example", "/short/1");
    ASSERT_TRUE(brief);
    EXPECT_EQ(brief->repeatability, Repeatability::NonIdempotent);
    EXPECT_EQ(brief->policy->form, AnswerForm::EventStream);
    EXPECT_EQ(brief->policy->targetLatency, std::chrono::milliseconds(1200));
    EXPECT_EQ(brief->policy->homeRegions.size(), 2U);
    const auto* resumed = snapshot.findRouteByHostAndPath("barn.example", "/long/1");
    EXPECT_EQ(resumed->repeatability, Repeatability::Idempotent);
    EXPECT_EQ(resumed->policy->resume, ResumeSupport::Supported);
    EXPECT_EQ(resumed->policy->services.size(), 2U);
    EXPECT_EQ(resumed->policy->maxAttempts, 2U);
    EXPECT_EQ(snapshot.findRouteByHostAndPath("barn.example", "/book/")->access, RouteAccess::OpenToAll);
    EXPECT_EQ(snapshot.findRouteByHostAndPath("barn.example", "/seats/")->repeatability, Repeatability::Idempotent);
    EXPECT_EQ(snapshot.findRouteByHostAndPath("barn.example", "/odd/")->repeatability, Repeatability::NonIdempotent);
    const auto* service = snapshot.findService(ServiceId("model"));
    EXPECT_EQ(service->coldPeriod, std::chrono::milliseconds(3500));
    EXPECT_EQ(service->engine->memory, TokenCount(680435));
    EXPECT_FALSE(snapshot.findService(ServiceId("app"))->engine);
    EXPECT_EQ(document.callers->headTimeout, std::chrono::seconds(3));
}

TEST_F(DocumentsTest, ReadsWorkspacesAndKeepsNoPlaintextKeys)
{
    const auto document = reader_->readConfiguration(configuration, Revision(9));
    const Snapshot snapshot(Revision(9), document.records);
    const auto* key = snapshot.findKey(digestOfKey("key-2"));
    ASSERT_TRUE(key);
    const auto* workspace = snapshot.findWorkspace(key->workspace);
    EXPECT_EQ(workspace->id, WorkspaceId("guides"));
    EXPECT_EQ(workspace->priority, 1U);
    EXPECT_EQ(workspace->defaultRequestTokens, TokenCount(200));
    EXPECT_EQ(snapshot.permittedRegions(workspace->id)->size(), 1U);
    EXPECT_EQ(snapshot.findWorkspace(WorkspaceId("free"))->scope, ResidencyScope::Everywhere);
    for (const auto& record : document.records)
        EXPECT_EQ(record.name.find("key-"), std::string::npos);
}

TEST_F(DocumentsTest, WithoutWorkspacesEveryRouteIsOpen)
{
    const auto document = reader_->readConfiguration(R"({"Version":1,"Routes":[{"Name":"a","Host":"h","PathPrefix":"/a/","Kind":"idempotent","Service":"s"}]})", Revision(1));
    EXPECT_EQ(std::get<Route>(document.records.front().body).access, RouteAccess::OpenToAll);
}

TEST_F(DocumentsTest, InvalidConfigurationIsRejectedAsAWhole)
{
    for (const auto* text : { "", "[]", "null", "{\"Routes\":[{}]}", "{\"Routes\":{}}", "{\"Services\":[{\"Name\":5}]}", "{\"Tenants\":[{\"Name\":\"a\",\"ApiKeys\":[1]}]}" })
        EXPECT_THROW(reader_->readConfiguration(text, Revision(1)), Error) << text;
}

TEST_F(DocumentsTest, RecognizesItsKeys)
{
    EXPECT_TRUE(reader_->isConfiguration("op/config"));
    EXPECT_FALSE(reader_->isConfiguration("op/config2"));
    EXPECT_EQ(reader_->evacuatedDataCentre("op/evacuate/khomas-a"), DataCentreId("khomas-a"));
    EXPECT_FALSE(reader_->evacuatedDataCentre("op/config"));
    EXPECT_EQ(reader_->serverIdOf("servers/i-7"), BackendServerId("i-7"));
}

TEST_F(DocumentsTest, ReadsARegistryEntry)
{
    const auto read = server(entry);
    ASSERT_TRUE(read);
    EXPECT_EQ(read->id, BackendServerId("i-1"));
    EXPECT_EQ(read->region, RegionId("khomas"));
    EXPECT_EQ(read->endpoint.toString(), "10.1.0.9:8080");
    EXPECT_EQ(read->coldLeft, std::chrono::milliseconds(1500));
    EXPECT_EQ(read->started, StartTime(1700000000123));
    EXPECT_EQ(read->version, SoftwareVersion("v1"));
    EXPECT_EQ(server(entryWithout("\"ready\"", "\"draining\""))->state, RegistrationState::Draining);
}

TEST_F(DocumentsTest, InvalidRegistryEntryIsRejected)
{
    EXPECT_FALSE(server(""));
    EXPECT_FALSE(server("\xff\xfe"));
    EXPECT_FALSE(server("[1]"));
    EXPECT_FALSE(server(entryWithout("\"Service\":\"model\",")));
    EXPECT_FALSE(server(entryWithout("\"10.1.0.9:8080\"", "\"nowhere\"")));
    EXPECT_FALSE(server(entryWithout("\"10.1.0.9:8080\"", "7")));
    EXPECT_FALSE(server(entryWithout("\"khomas-a\"", "\"of another fleet\"")));
    EXPECT_FALSE(server(entryWithout("\"ready\"", "\"asleep\"")));
    EXPECT_FALSE(server(entryWithout("128", "\"many\"")));
    EXPECT_FALSE(server(entryWithout("128", "-1")));
}

// A server of an unknown version must not run a stream that a known version began.
TEST_F(DocumentsTest, RegistryEntryWithoutAVersionIsRejected)
{
    EXPECT_FALSE(server(entryWithout("\"Version\":\"v1\",")));
    for (const auto* version : { "null", "1", "true", "[\"v1\"]", "{}", "\"\"" })
        EXPECT_FALSE(server(entryWithout("\"v1\"", version))) << version;
    EXPECT_TRUE(server(entryWithout("\"v1\"", "\"" + std::string(64, 'v') + "\"")));
    EXPECT_FALSE(server(entryWithout("\"v1\"", "\"" + std::string(65, 'v') + "\"")));
}

// Another writer may leave an entry that no backend server would write.
TEST_F(DocumentsTest, OddRegistryEntriesAreRejected)
{
    constexpr std::size_t depth = 500'000;
    EXPECT_FALSE(server(std::string(depth, '[') + std::string(depth, ']')));
    EXPECT_FALSE(server(std::string(depth, '[')));
    std::string nestedObjects;
    for (std::size_t level = 0; level < depth / 10; ++level)
        nestedObjects += "{\"a\":";
    EXPECT_FALSE(server(nestedObjects));
    EXPECT_TRUE(server(entryWithout("128", "128,\"Extra\":" + std::string(depth, '[') + std::string(depth, ']'))));
    for (const auto* number : { "1e999", "-1e999", "1e300", "99999999999999999999999999", "4294967296", "128.5e400" })
        EXPECT_FALSE(server(entryWithout("128", number))) << number;
    for (const auto* number : { "1e300", "-1e300", "9.9e18", "1.5", "18446744073709551616" })
        EXPECT_FALSE(server(entryWithout("1700000000123", number))) << number;
    for (const auto* address : { "10.1.0.9:65536", "10.1.0.9:-1", "10.1.0.9:0", "10.1.0.9:99999999999999999999", "10.1.0.9:80a", "10.1.0.9:", ":80", "10.1.0.999:80", "replica.example:80" })
        EXPECT_FALSE(server(entryWithout("10.1.0.9:8080", address))) << address;
}

TEST_F(DocumentsTest, ConfigurationWithAnImpossibleNumberIsRejected)
{
    for (const auto* number : { "1e300", "1e999", "-1e19" })
        EXPECT_THROW(reader_->readConfiguration(std::string("{\"Version\":") + number + "}", Revision(1)), Error) << number;
}

TEST_F(DocumentsTest, RandomBytesAreParsedOrRejected)
{
    forEachCase([this](Random& random) {
        auto text = entry;
        for (std::size_t changes = 1 + randomBelow(random, 4); changes > 0; --changes)
            text[randomBelow(random, text.size())] = static_cast<char>(random());
        server(text);
        auto document = configuration;
        document[randomBelow(random, document.size())] = static_cast<char>(random());
        try {
            reader_->readConfiguration(document, Revision(1));
        } catch (const Error& error) {
            EXPECT_EQ(error.code(), ResultCode::RecordInvalid);
        }
    });
}

// Requests name the server in a header, where a line break would begin another one.
TEST_F(DocumentsTest, AnEntryWhoseNameCannotBeSentDescribesNoServer)
{
    const auto named = [this](const std::string& name) { return reader_->readServer("servers/" + name, entry).has_value(); };
    for (const auto& name : { std::string(), std::string("a\r\nX-Ibisturn-Tenant: guides"), std::string("a\nb"), std::string("a\0b", 3), std::string("a\x7f"), std::string(" a"), std::string("a "), std::string("a\t"), std::string(201, 'a') })
        EXPECT_FALSE(named(name)) << name;
    for (const auto& name : { std::string("i-7f3a91c2"), std::string("a b"), std::string("a&b+c#d%41?e=f/g\"h"), std::string("\xc3\xa9"), std::string(200, 'a') })
        EXPECT_TRUE(named(name)) << name;
}

TEST_F(DocumentsTest, AnEntryOfAServiceWithAnEndlessNameDescribesNoServer)
{
    EXPECT_TRUE(server(entryWithout("model", std::string(200, 'm'))));
    EXPECT_FALSE(server(entryWithout("model", std::string(201, 'm'))));
}

} // namespace Ibisturn::Testing
