#include <LibConfiguration/Settings.h>

#include <LibConfiguration/SettingsError.h>
#include <Tests/Support/Cases.h>

#include <regex>

namespace Ibisturn {

namespace {

using Testing::forEachCase;
using Testing::Random;

const std::string validText = R"(instance: khomas-1
region: khomas
data_centre: khomas-a
callers:
  listen: 127.0.0.1:8080
operators:
  listen: 127.0.0.1:8081
  credentials:
    - name: night
      digest: aaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaa
peers:
  listen: 127.0.0.1:8082
platform:
  store:
    endpoints: [127.0.0.1:2379]
  live_list:
    endpoint: 127.0.0.1:9000
    poll: 250ms
limits:
  head: 16KiB
  body: 4MiB
timeouts:
  request: 30s
  connect: 500ms
workers: 2
log:
  level: info
)";

/// A modification of the valid text and the start of the expected error message.
struct Example {
    std::string from;
    std::string to;
    std::string message;
};

const std::vector<Example> examples {
    { "region: khomas\n", "region: khomas\nzone: a\n", "s.yaml:3: zone is not a known setting" },
    { "    poll: 250ms", "    pol: 250ms", "s.yaml:18: platform.live_list.pol is not a known setting" },
    { "    - name: night\n", "    - name: night\n      role: x\n", "s.yaml:10: operators.credentials.role is not a known setting" },
    { "250ms", "250", "s.yaml:18: platform.live_list.poll must be a positive duration with a unit" },
    { "250ms", "250MiB", "s.yaml:18: platform.live_list.poll must be a positive duration with a unit" },
    { "250ms", "0ms", "s.yaml:18: platform.live_list.poll must be a positive duration with a unit" },
    { "250ms", "-5ms", "s.yaml:18: platform.live_list.poll must be a positive duration with a unit" },
    { "30s", "150000000min", "s.yaml:23: timeouts.request must be at most 1440min" },
    { "16KiB", "16ms", "s.yaml:20: limits.head must be a positive size with a unit" },
    { "16KiB", "4GiB", "s.yaml:20: limits.head must be at most" },
    { "4MiB", "4GiB", "s.yaml:21: limits.body must be at most" },
    { "instance: khomas-1\n", "", "s.yaml:1: instance is missing" },
    { "  listen: 127.0.0.1:8082", "  listen: 127.0.0.1:8082\n  tls: {certificate: a, private_key: b}", "s.yaml:13: peers.tls is not supported yet" },
    { "  listen: 127.0.0.1:8080", "  {}", "s.yaml:5: callers.listen is missing" },
    { "platform:\n  store:\n    endpoints: [127.0.0.1:2379]\n", "platform:\n", "s.yaml:14: platform.store.endpoints is missing" },
    { "[127.0.0.1:2379]", "[]", "s.yaml:15: platform.store.endpoints must be a list" },
    { "[127.0.0.1:2379]", "[localhost:2379]", "s.yaml:15: platform.store.endpoints must hold an IP address" },
    { "127.0.0.1:8081", "127.0.0.1:8080", "s.yaml:5: callers listens where another listener does" },
    { "500ms", "31s", "s.yaml:24: timeouts.connect must not exceed timeouts.request" },
    { "workers: 2", "workers: 0", "s.yaml:25: workers must be a whole number from 1 to 64" },
    { "workers: 2", "workers: 2\nworkers: 3", "s.yaml:26: workers is set twice" },
    { "  head: 16KiB\n", "  head: 16KiB\n  head: 32KiB\n", "s.yaml:21: limits.head is set twice" },
    { "level: info", "level: loud", "s.yaml:27: log.level must be debug, info, warning or error" },
    { "aaaaaaaa", "zzzzzzzz", "s.yaml:10: operators.credentials.digest must be a SHA-256 digest" },
    { "data_centre: khomas-a", "data_centre: [a]", "s.yaml:3: data_centre must be a single value" },
    { "callers:\n", "callers: {\n", "s.yaml:" },
};

std::string replaceFirst(std::string text, const std::string& from, const std::string& to)
{
    const auto at = text.find(from);
    EXPECT_NE(at, std::string::npos) << from;
    return text.replace(at, from.size(), to);
}

/// The error message for `text`, or empty if it is parsed. Any other exception fails the test.
std::string errorOf(const std::string& text)
{
    try {
        parseSettings(text, "s.yaml");
    } catch (const SettingsError& error) {
        return error.what();
    }
    return "";
}

} // namespace

TEST(Settings, ValidTextIsRead)
{
    EXPECT_EQ(errorOf(validText), "");
    EXPECT_EQ(parseSettings(validText, "s.yaml").liveListPoll, std::chrono::milliseconds(250));
}

TEST(Settings, EachProblemNamesFileLineAndKey)
{
    for (const auto& example : examples) {
        const auto message = errorOf(replaceFirst(validText, example.from, example.to));
        EXPECT_TRUE(message.starts_with(example.message)) << "expected: " << example.message << "\n     got: " << message;
    }
}

TEST(Settings, MutatedTextIsReadOrRefusedWithFileAndLine)
{
    const std::regex place(R"(^s\.yaml:[1-9][0-9]*: )");
    const std::vector<std::string> tokens { "&a ", "*a", "{", "[", "? ", "!!binary ", "\t", "\n---\n", "\n...\n", ": ", "\"", "|\n", "%YAML 9.9\n", "\xff", "<<: *a\n", std::string(600, '['), std::string(1, '\0') };
    forEachCase([&](Random& random) {
        const auto message = errorOf(Testing::mutate(random, validText, tokens));
        ASSERT_TRUE(message.empty() || std::regex_search(message, place)) << message;
    });
}

} // namespace Ibisturn
