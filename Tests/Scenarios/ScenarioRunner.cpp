#include "ScenarioRunner.h"

#include <LibCore/Digest.h>

#include <stdexcept>

#include <fmt/format.h>
#include <nlohmann/json.hpp>

namespace Ibisturn::Scenarios {

namespace {

constexpr auto partTimeout = std::chrono::seconds(10);
constexpr auto answerPollInterval = std::chrono::milliseconds(20);

// Describes the first difference from the expectation; empty if there is none.
std::string differenceOf(const ExpectedAnswer& expected, const CallerAnswer& answer)
{
    const auto json = nlohmann::json::parse(answer.body, nullptr, false);
    const auto error = json.is_object() ? json.value("error", nlohmann::json::object()) : nlohmann::json::object();
    if (expected.status && *expected.status != answer.status)
        return fmt::format("status {} instead of {}", answer.status, *expected.status);
    if (expected.number && *expected.number != error.value("number", 0U))
        return fmt::format("number {} instead of {}", error.value("number", 0U), *expected.number);
    if (expected.ran && *expected.ran != error.value("ran", ""))
        return fmt::format("ran '{}' instead of '{}'", error.value("ran", ""), *expected.ran);
    if (expected.holds && answer.body.find(*expected.holds) == std::string::npos)
        return fmt::format("missing '{}'", *expected.holds);
    if (expected.isWhole && *expected.isWhole != answer.isWhole())
        return answer.isWhole() ? "unexpected complete answer" : "incomplete answer";
    return "";
}

void require(const ExpectedAnswer& expected, const CallerAnswer& answer)
{
    const auto difference = differenceOf(expected, answer);
    if (!difference.empty())
        throw std::runtime_error(fmt::format("{} in: {} {}", difference, answer.status, answer.body));
}

void requireStatus(const std::optional<unsigned>& expected, const CallerAnswer& answer)
{
    ExpectedAnswer expectation;
    expectation.status = expected;
    require(expectation, answer);
}

CallerAnswer get(const Endpoint& endpoint, const std::string& target)
{
    return call({ endpoint, "GET", target, {}, {} });
}

} // namespace

ScenarioRunner::ScenarioRunner(const Scenario& scenario)
    : scenario_(scenario)
    , deployment_(scenario.deployment)
{
}

void ScenarioRunner::run()
{
    for (const auto& step : scenario_.steps) {
        try {
            std::visit([this](const auto& action) { perform(action); }, step.action);
        } catch (const std::exception& error) {
            throw std::runtime_error(fmt::format("{}:{}: {}: {}", scenario_.file, step.line, step.name, error.what()));
        }
    }
}

void ScenarioRunner::perform(const SendRequest& request)
{
    if (request.as.empty())
        return require(request.expected, call(makeRequest(request)));
    runningRequests_[request.as] = std::make_unique<HttpCaller>(makeRequest(request));
}

void ScenarioRunner::perform(const AwaitPart& await)
{
    if (!runningRequests_.at(await.as)->awaitPart(await.holds, partTimeout))
        throw std::runtime_error(fmt::format("'{}' was not received: {}", await.holds, runningRequests_.at(await.as)->awaitEnd({}).body));
}

void ScenarioRunner::perform(const AwaitRequest& await)
{
    const auto answer = runningRequests_.at(await.as)->awaitEnd(await.within);
    if (!answer.isEnded)
        throw std::runtime_error(fmt::format("the answer did not end within {} ms: {}", await.within.count(), answer.body));
    require(await.expected, answer);
}

void ScenarioRunner::perform(const WriteRecord& write)
{
    requireStatus(write.expectedStatus, deployment_.writeRecord(write.at, write.kind, recordName(write.kind, write.name), write.json));
}

void ScenarioRunner::perform(const WithdrawRecord& withdraw)
{
    requireStatus(withdraw.expectedStatus, deployment_.withdrawRecord(withdraw.at, withdraw.kind, recordName(withdraw.kind, withdraw.name)));
}

void ScenarioRunner::perform(const AwaitAnswer& await)
{
    const auto deadline = std::chrono::steady_clock::now() + await.within;
    for (;;) {
        const auto answer = call(makeRequest(await.request));
        if (differenceOf(await.request.expected, answer).empty())
            return;
        if (std::chrono::steady_clock::now() > deadline)
            return require(await.request.expected, answer);
        std::this_thread::sleep_for(answerPollInterval);
    }
}

void ScenarioRunner::perform(const ChangeProcess& change)
{
    deployment_.change(change);
}

void ScenarioRunner::perform(const ChangeStore& change)
{
    const nlohmann::json faults { { "down", change.isDown }, { "delay_ms", change.delayMilliseconds }, { "lose_replies", change.repliesToLose } };
    call({ deployment_.store(), "POST", "/faults", {}, faults.dump() });
}

void ScenarioRunner::perform(const ChangeLink& change)
{
    deployment_.change(change);
}

void ScenarioRunner::perform(const ExpectRuns& expect)
{
    const auto runs = nlohmann::json::parse(get(deployment_.service(), "/runs").body);
    const auto count = runs.value(expect.idempotencyKey, std::uint64_t { 0 });
    if (count > expect.atMost || count < expect.atLeast)
        throw std::runtime_error(fmt::format("{} runs of '{}'", count, expect.idempotencyKey));
}

void ScenarioRunner::perform(const ExpectKeysUnseen& /*expect*/)
{
    const auto& names = namesOf(scenario_.deployment);
    for (const auto& engine : deployment_.engines()) {
        const auto received = get(engine, "/seen").body;
        for (const auto& workspace : { names.largeWorkspace, names.smallWorkspace }) {
            if (received.find(Deployment::keyOf(workspace)) != std::string::npos)
                throw std::runtime_error("an engine received the key of " + workspace);
        }
    }
}

CallerRequest ScenarioRunner::makeRequest(const SendRequest& request) const
{
    CallerRequest message { deployment_.callersOf(request.at), "POST", request.path, {}, {} };
    if (!request.key.empty())
        message.headers.push_back({ "Authorization", "Bearer " + Deployment::keyOf(request.key) });
    if (!request.idempotencyKey.empty())
        message.headers.push_back({ "Idempotency-Key", request.idempotencyKey });
    const nlohmann::json prompt { { "role", "user" }, { "content", "Tell me of the barn." } };
    message.body = nlohmann::json { { "model", request.model }, { "stream", true }, { "messages", { prompt } } }.dump();
    return message;
}

// Scenarios refer to a key by its workspace; key records are named by the key's digest.
std::string ScenarioRunner::recordName(const std::string& kind, const std::string& name) const
{
    return kind == "keys" ? digestOfKey(Deployment::keyOf(name)).value() : name;
}

} // namespace Ibisturn::Scenarios
