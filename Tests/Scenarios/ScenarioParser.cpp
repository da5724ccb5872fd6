#include "Scenario.h"

#include <fstream>
#include <map>
#include <set>
#include <sstream>
#include <stdexcept>

#include <fmt/format.h>
#include <yaml-cpp/yaml.h>

namespace Ibisturn::Scenarios {

namespace {

/// Reads the fields of one YAML mapping and rejects keys that were never read.
class MappingReader {
public:
    MappingReader(std::string file, const YAML::Node& node)
        : file_(std::move(file))
        , node_(node)
    {
        if (!node_.IsMap())
            fail(node_, "must be a mapping");
    }

    [[noreturn]] void fail(const YAML::Node& node, const std::string& problem) const
    {
        throw std::runtime_error(fmt::format("{}:{}: {}", file_, node.Mark().line + 1, problem));
    }

    bool has(const char* key) const { return std::as_const(node_)[key].IsDefined(); }

    std::string text(const char* key)
    {
        knownKeys_.insert(key);
        const auto value = std::as_const(node_)[key];
        if (!value.IsDefined())
            fail(node_, fmt::format("'{}' is missing", key));
        if (!value.IsScalar())
            fail(value, fmt::format("'{}' must be a single value", key));
        return value.Scalar();
    }

    std::string text(const char* key, const char* fallback)
    {
        knownKeys_.insert(key);
        return has(key) ? text(key) : fallback;
    }

    template <typename Number>
    Number number(const char* key, Number fallback)
    {
        const auto digits = text(key, "");
        if (digits.empty())
            return fallback;
        if (digits.find_first_not_of("0123456789") != std::string::npos || digits.size() > 9)
            fail(std::as_const(node_)[key], fmt::format("'{}' must be a whole number", key));
        return static_cast<Number>(std::stoul(digits));
    }

    bool boolean(const char* key, bool fallback)
    {
        const auto value = text(key, fallback ? "true" : "false");
        if (value != "true" && value != "false")
            fail(std::as_const(node_)[key], fmt::format("'{}' must be true or false", key));
        return value == "true";
    }

    MappingReader section(const char* key)
    {
        knownKeys_.insert(key);
        return { file_, std::as_const(node_)[key] };
    }

    void rejectKeysOtherThan(std::set<std::string> keys)
    {
        knownKeys_ = std::move(keys);
        rejectUnknownKeys();
    }

    void rejectUnknownKeys() const
    {
        for (const auto& entry : node_) {
            if (!knownKeys_.contains(entry.first.Scalar()))
                fail(entry.first, fmt::format("unknown key '{}'", entry.first.Scalar()));
        }
    }

private:
    std::string file_;
    YAML::Node node_;
    std::set<std::string> knownKeys_;
};

ExpectedAnswer readExpected(MappingReader& fields)
{
    ExpectedAnswer expected;
    if (!fields.has("expect"))
        return expected;
    auto section = fields.section("expect");
    if (section.has("status"))
        expected.status = section.number<unsigned>("status", 0);
    if (section.has("number"))
        expected.number = section.number<unsigned>("number", 0);
    if (section.has("ran"))
        expected.ran = section.text("ran");
    if (section.has("holds"))
        expected.holds = section.text("holds");
    if (section.has("whole"))
        expected.isWhole = section.boolean("whole", true);
    section.rejectUnknownKeys();
    return expected;
}

SendRequest readRequest(MappingReader& fields)
{
    SendRequest request;
    request.at = fields.text("at");
    request.path = fields.text("path", "/v1/chat/completions");
    request.model = fields.text("model", "");
    request.key = fields.text("key", "");
    request.idempotencyKey = fields.text("idempotency_key", "");
    request.as = fields.text("as", "");
    request.expected = readExpected(fields);
    return request;
}

std::optional<unsigned> readStatus(MappingReader& fields)
{
    if (!fields.has("status"))
        return std::nullopt;
    return fields.number<unsigned>("status", 0);
}

Action readAwaitAnswer(MappingReader& fields)
{
    AwaitAnswer await;
    await.within = std::chrono::milliseconds(fields.number<std::uint32_t>("within_ms", 3000));
    await.request = readRequest(fields);
    return await;
}

Action readAwaitRequest(MappingReader& fields)
{
    AwaitRequest await;
    await.as = fields.text("as");
    await.within = std::chrono::milliseconds(fields.number<std::uint32_t>("within_ms", 10000));
    await.expected = readExpected(fields);
    return await;
}

template <ProcessChange change>
Action readProcess(MappingReader& fields)
{
    return ChangeProcess { change, fields.text("process") };
}

template <LinkChange change>
Action readLink(MappingReader& fields)
{
    ChangeLink link { change, fields.text("instance"), fields.text("to") };
    if (link.to != "store" && link.to != "peers")
        throw std::invalid_argument("'to' must be store or peers");
    return link;
}

using Reader = Action (*)(MappingReader&);

const std::map<std::string, Reader>& readers()
{
    static const std::map<std::string, Reader> table {
        { "request", [](MappingReader& fields) -> Action { return readRequest(fields); } },
        { "await_part", [](MappingReader& fields) -> Action { return AwaitPart { fields.text("as"), fields.text("holds") }; } },
        { "await_request", readAwaitRequest },
        { "await_answer", readAwaitAnswer },
        { "write", [](MappingReader& fields) -> Action { return WriteRecord { fields.text("at"), fields.text("kind"), fields.text("name"), fields.text("record"), readStatus(fields) }; } },
        { "withdraw", [](MappingReader& fields) -> Action { return WithdrawRecord { fields.text("at"), fields.text("kind"), fields.text("name"), readStatus(fields) }; } },
        { "kill", readProcess<ProcessChange::Kill> },
        { "freeze", readProcess<ProcessChange::Freeze> },
        { "thaw", readProcess<ProcessChange::Thaw> },
        { "drain", readProcess<ProcessChange::Drain> },
        { "start", readProcess<ProcessChange::Start> },
        { "cut", readLink<LinkChange::Cut> },
        { "heal", readLink<LinkChange::Heal> },
        { "store", [](MappingReader& fields) -> Action { return ChangeStore { fields.boolean("down", false), fields.number<std::uint32_t>("delay_ms", 0), fields.number<std::uint32_t>("lose_replies", 0) }; } },
        { "expect_runs", [](MappingReader& fields) -> Action { return ExpectRuns { fields.text("idempotency_key"), fields.number<std::uint64_t>("at_most", 1), fields.number<std::uint64_t>("at_least", 0) }; } },
        { "expect_keys_unseen", [](MappingReader&) -> Action { return ExpectKeysUnseen {}; } },
    };
    return table;
}

Step readStep(const std::string& file, const YAML::Node& node)
{
    const MappingReader step(file, node);
    if (node.size() != 1)
        step.fail(node, "a step must be a mapping with a single key");
    const auto key = node.begin()->first.Scalar();
    const auto reader = readers().find(key);
    if (reader == readers().end())
        step.fail(node, fmt::format("unknown step '{}'", key));
    MappingReader fields(file, node.begin()->second);
    try {
        auto action = reader->second(fields);
        fields.rejectUnknownKeys();
        return { node.Mark().line + 1, key, std::move(action) };
    } catch (const std::invalid_argument& error) {
        step.fail(node, error.what());
    }
}

} // namespace

Scenario parseScenario(const std::string& text, const std::string& file)
{
    YAML::Node document;
    try {
        document = YAML::Load(text);
    } catch (const YAML::Exception& error) {
        throw std::runtime_error(fmt::format("{}:{}: {}", file, error.mark.line + 1, error.msg));
    }
    MappingReader fields(file, document);
    Scenario scenario;
    scenario.file = file;
    scenario.title = fields.text("title");
    const auto deployment = fields.text("deployment");
    if (deployment != "thatch_trust" && deployment != "cooler_rounds")
        fields.fail(document["deployment"], "'deployment' must be thatch_trust or cooler_rounds");
    scenario.deployment = deployment == "thatch_trust" ? DeploymentKind::ThatchTrust : DeploymentKind::CoolerRounds;
    const auto steps = document["steps"];
    if (!steps.IsSequence())
        fields.fail(document, "'steps' must be a list");
    fields.rejectKeysOtherThan({ "title", "deployment", "steps" });
    for (const auto& step : steps)
        scenario.steps.push_back(readStep(file, step));
    return scenario;
}

Scenario loadScenario(const std::string& path)
{
    const std::ifstream file(path);
    std::ostringstream text;
    text << file.rdbuf();
    return parseScenario(text.str(), path.substr(path.rfind('/') + 1));
}

} // namespace Ibisturn::Scenarios
