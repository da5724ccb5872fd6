#pragma once

#include <chrono>
#include <cstdint>
#include <optional>
#include <string>
#include <variant>
#include <vector>

namespace Ibisturn::Scenarios {

/// The deployment that a scenario runs in.
enum class DeploymentKind : std::uint8_t {
    ThatchTrust,
    CoolerRounds,
};

/// Conditions on an answer; absent fields are not checked.
struct ExpectedAnswer {
    std::optional<unsigned> status;
    /// Numbered result code of the error.
    std::optional<unsigned> number;
    std::optional<std::string> ran;
    /// Text that the body must contain.
    std::optional<std::string> holds;
    /// Whether the answer must be complete, as CallerAnswer::isWhole() says.
    std::optional<bool> isWhole;
};

/// Sends a request and waits for its answer or, with `as`, leaves that to `AwaitRequest`.
struct SendRequest {
    std::string at;
    std::string path { "/v1/chat/completions" };
    std::string model;
    std::string key;
    std::string idempotencyKey;
    /// Name of a request that runs while further steps are performed; empty if the step waits for the answer.
    std::string as;
    ExpectedAnswer expected;
};

/// Waits until the answer to a running request contains a text.
struct AwaitPart {
    std::string as;
    std::string holds;
};

/// Waits for the end of the answer to a running request.
struct AwaitRequest {
    std::string as;
    ExpectedAnswer expected;
    std::chrono::milliseconds within { 10000 };
};

/// Writes a record through the operators' listener of an instance.
struct WriteRecord {
    std::string at;
    std::string kind;
    std::string name;
    std::string json;
    std::optional<unsigned> expectedStatus;
};

/// Withdraws a record through the operators' listener of an instance.
struct WithdrawRecord {
    std::string at;
    std::string kind;
    std::string name;
    std::optional<unsigned> expectedStatus;
};

/// Repeats a request until the answer meets the expectation.
struct AwaitAnswer {
    SendRequest request;
    std::chrono::milliseconds within { 3000 };
};

enum class ProcessChange : std::uint8_t {
    Kill,
    Freeze,
    Thaw,
    Drain,
    Start,
};

/// Kills, freezes, thaws, drains or starts the process of an instance or a stand-in.
struct ChangeProcess {
    ProcessChange change;
    std::string name;
};

/// Sets the faults of the store stand-in.
struct ChangeStore {
    bool isDown { false };
    std::uint32_t delayMilliseconds { 0 };
    std::uint32_t repliesToLose { 0 };
};

enum class LinkChange : std::uint8_t {
    Cut,
    Heal,
};

/// Cuts or restores an instance's link to the store, or the link of all peers to the instance.
struct ChangeLink {
    LinkChange change;
    std::string instance;
    /// `store` or `peers`.
    std::string to;
};

/// Checks how often the service stand-in ran requests with an idempotency key.
struct ExpectRuns {
    std::string idempotencyKey;
    std::uint64_t atMost { 1 };
    std::uint64_t atLeast { 0 };
};

/// Checks that no engine has received the key of any workspace.
struct ExpectKeysUnseen {
};

using Action = std::variant<SendRequest, AwaitPart, AwaitRequest, WriteRecord, WithdrawRecord, AwaitAnswer, ChangeProcess, ChangeStore,
    ChangeLink, ExpectRuns, ExpectKeysUnseen>;

/// One step, with its line in the scenario file.
struct Step {
    int line { 0 };
    std::string name;
    Action action;
};

/// A sequence of steps in one deployment.
struct Scenario {
    std::string file;
    std::string title;
    DeploymentKind deployment { DeploymentKind::ThatchTrust };
    std::vector<Step> steps;
};

/// Parses a scenario. Throws std::runtime_error with file and line on an unknown key or an invalid value.
Scenario parseScenario(const std::string& text, const std::string& file);

/// Parses a scenario file.
Scenario loadScenario(const std::string& path);

} // namespace Ibisturn::Scenarios
