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
class Words {
public:
    Words(std::string file, const YAML::Node& node)
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

    bool has(const char* word) const { return std::as_const(node_)[word].IsDefined(); }

    std::string text(const char* word)
    {
        known_.insert(word);
        const auto value = std::as_const(node_)[word];
        if (!value.IsDefined())
            fail(node_, fmt::format("'{}' is missing", word));
        if (!value.IsScalar())
            fail(value, fmt::format("'{}' must be a single value", word));
        return value.Scalar();
    }

    std::string text(const char* word, const char* fallback)
    {
        known_.insert(word);
        return has(word) ? text(word) : fallback;
    }

    template <typename Number>
    Number number(const char* word, Number fallback)
    {
        const auto digits = text(word, "");
        if (digits.empty())
            return fallback;
        if (digits.find_first_not_of("0123456789") != std::string::npos || digits.size() > 9)
            fail(std::as_const(node_)[word], fmt::format("'{}' must be a whole number", word));
        return static_cast<Number>(std::stoul(digits));
    }

    bool flag(const char* word, bool fallback)
    {
        const auto value = text(word, fallback ? "true" : "false");
        if (value != "true" && value != "false")
            fail(std::as_const(node_)[word], fmt::format("'{}' must be true or false", word));
        return value == "true";
    }

    Words section(const char* word)
    {
        known_.insert(word);
        return { file_, std::as_const(node_)[word] };
    }

    void expectNoOtherThan(std::set<std::string> words)
    {
        known_ = std::move(words);
        finish();
    }

    void finish() const
    {
        for (const auto& entry : node_) {
            if (!known_.contains(entry.first.Scalar()))
                fail(entry.first, fmt::format("unknown word '{}'", entry.first.Scalar()));
        }
    }

private:
    std::string file_;
    YAML::Node node_;
    std::set<std::string> known_;
};

ExpectedAnswer readExpected(Words& words)
{
    ExpectedAnswer expected;
    if (!words.has("expect"))
        return expected;
    auto section = words.section("expect");
    if (section.has("status"))
        expected.status = section.number<unsigned>("status", 0);
    if (section.has("number"))
        expected.number = section.number<unsigned>("number", 0);
    if (section.has("ran"))
        expected.ran = section.text("ran");
    if (section.has("holds"))
        expected.holds = section.text("holds");
    if (section.has("whole"))
        expected.isWhole = section.flag("whole", true);
    section.finish();
    return expected;
}

SendRequest readRequest(Words& words)
{
    SendRequest request;
    request.at = words.text("at");
    request.path = words.text("path", "/v1/chat/completions");
    request.model = words.text("model", "");
    request.key = words.text("key", "");
    request.idempotencyKey = words.text("idempotency_key", "");
    request.as = words.text("as", "");
    request.expected = readExpected(words);
    return request;
}

std::optional<unsigned> readStatus(Words& words)
{
    if (!words.has("status"))
        return std::nullopt;
    return words.number<unsigned>("status", 0);
}

Action readAwaitAnswer(Words& words)
{
    AwaitAnswer await;
    await.within = std::chrono::milliseconds(words.number<std::uint32_t>("within_ms", 3000));
    await.request = readRequest(words);
    return await;
}

Action readAwaitRequest(Words& words)
{
    AwaitRequest await;
    await.as = words.text("as");
    await.within = std::chrono::milliseconds(words.number<std::uint32_t>("within_ms", 10000));
    await.expected = readExpected(words);
    return await;
}

template <ProcessChange change>
Action readProcess(Words& words)
{
    return ChangeProcess { change, words.text("process") };
}

template <LinkChange change>
Action readLink(Words& words)
{
    ChangeLink link { change, words.text("instance"), words.text("to") };
    if (link.to != "store" && link.to != "peers")
        throw std::invalid_argument("'to' must be store or peers");
    return link;
}

using Reader = Action (*)(Words&);

const std::map<std::string, Reader>& readers()
{
    static const std::map<std::string, Reader> table {
        { "request", [](Words& words) -> Action { return readRequest(words); } },
        { "await_part", [](Words& words) -> Action { return AwaitPart { words.text("as"), words.text("holds") }; } },
        { "await_request", readAwaitRequest },
        { "await_answer", readAwaitAnswer },
        { "write", [](Words& words) -> Action { return WriteRecord { words.text("at"), words.text("kind"), words.text("name"), words.text("record"), readStatus(words) }; } },
        { "withdraw", [](Words& words) -> Action { return WithdrawRecord { words.text("at"), words.text("kind"), words.text("name"), readStatus(words) }; } },
        { "kill", readProcess<ProcessChange::Kill> },
        { "freeze", readProcess<ProcessChange::Freeze> },
        { "thaw", readProcess<ProcessChange::Thaw> },
        { "drain", readProcess<ProcessChange::Drain> },
        { "start", readProcess<ProcessChange::Start> },
        { "cut", readLink<LinkChange::Cut> },
        { "heal", readLink<LinkChange::Heal> },
        { "store", [](Words& words) -> Action { return ChangeStore { words.flag("down", false), words.number<std::uint32_t>("delay_ms", 0), words.number<std::uint32_t>("lose_replies", 0) }; } },
        { "expect_runs", [](Words& words) -> Action { return ExpectRuns { words.text("idempotency_key"), words.number<std::uint64_t>("at_most", 1), words.number<std::uint64_t>("at_least", 0) }; } },
        { "expect_keys_unseen", [](Words&) -> Action { return ExpectKeysUnseen {}; } },
    };
    return table;
}

Step readStep(const std::string& file, const YAML::Node& node)
{
    const Words outer(file, node);
    if (node.size() != 1)
        outer.fail(node, "a step must be a mapping with a single key");
    const auto word = node.begin()->first.Scalar();
    const auto reader = readers().find(word);
    if (reader == readers().end())
        outer.fail(node, fmt::format("unknown step '{}'", word));
    Words words(file, node.begin()->second);
    try {
        auto action = reader->second(words);
        words.finish();
        return { node.Mark().line + 1, word, std::move(action) };
    } catch (const std::invalid_argument& error) {
        outer.fail(node, error.what());
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
    Words words(file, document);
    Scenario scenario;
    scenario.file = file;
    scenario.title = words.text("title");
    const auto deployment = words.text("deployment");
    if (deployment != "thatch_trust" && deployment != "cooler_rounds")
        words.fail(document["deployment"], "'deployment' must be thatch_trust or cooler_rounds");
    scenario.deployment = deployment == "thatch_trust" ? DeploymentKind::ThatchTrust : DeploymentKind::CoolerRounds;
    const auto steps = document["steps"];
    if (!steps.IsSequence())
        words.fail(document, "'steps' must be a list");
    words.expectNoOtherThan({ "title", "deployment", "steps" });
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
