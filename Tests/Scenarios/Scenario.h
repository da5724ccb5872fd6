#pragma once

#include <chrono>
#include <cstdint>
#include <optional>
#include <string>
#include <variant>
#include <vector>

namespace Ibisturn::Scenarios {

/// Whose deployment a scenario runs in.
enum class DeploymentKind : std::uint8_t {
    ThatchTrust,
    CoolerRounds,
};

/// What a caller must see of an answer; absent fields are not looked at.
struct ExpectedAnswer {
    std::optional<unsigned> status;
    /// Numbered result code of the error.
    std::optional<unsigned> number;
    std::optional<std::string> ran;
    /// A text that the answer holds.
    std::optional<std::string> holds;
    /// Whether the answer ended whole.
    std::optional<bool> isWhole;
};

/// Sends a request, or begins one that `AwaitRequest` ends.
struct SendRequest {
    std::string at;
    std::string path { "/v1/chat/completions" };
    std::string model;
    std::string key;
    std::string idempotencyKey;
    /// Names a request that goes on while further steps run.
    std::string as;
    ExpectedAnswer expected;
};

/// Waits until a running request has received a text.
struct AwaitPart {
    std::string as;
    std::string holds;
};

/// Waits for the end of a running request.
struct AwaitRequest {
    std::string as;
    ExpectedAnswer expected;
    std::chrono::milliseconds within { 10000 };
};

/// Writes a record through an instance's operators' listener.
struct WriteRecord {
    std::string at;
    std::string kind;
    std::string name;
    std::string json;
    std::optional<unsigned> expectedStatus;
};

/// Withdraws a record.
struct WithdrawRecord {
    std::string at;
    std::string kind;
    std::string name;
    std::optional<unsigned> expectedStatus;
};

/// Waits until a request at an instance is answered as expected.
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

/// Changes a process: an instance or a backend server.
struct ChangeProcess {
    ProcessChange change;
    std::string name;
};

/// Changes what the store does wrong.
struct ChangeStore {
    bool isDown { false };
    std::uint32_t delayMilliseconds { 0 };
    std::uint32_t repliesToLose { 0 };
};

enum class LinkChange : std::uint8_t {
    Cut,
    Heal,
};

/// Cuts or heals an instance's link to the store, or the way of all others to an instance.
struct ChangeLink {
    LinkChange change;
    std::string instance;
    /// `store` or `peers`.
    std::string to;
};

/// How often the plain service ran the requests of one idempotency key.
struct ExpectRuns {
    std::string idempotencyKey;
    std::uint64_t atMost { 1 };
    std::uint64_t atLeast { 0 };
};

/// No backend server has seen the key of any workspace.
struct ExpectKeysUnseen {
};

using Action = std::variant<SendRequest, AwaitPart, AwaitRequest, WriteRecord, WithdrawRecord, AwaitAnswer, ChangeProcess, ChangeStore,
    ChangeLink, ExpectRuns, ExpectKeysUnseen>;

/// One step and where it stands.
struct Step {
    int line { 0 };
    std::string word;
    Action action;
};

/// A scripted sequence in one deployment.
struct Scenario {
    std::string file;
    std::string title;
    DeploymentKind deployment { DeploymentKind::ThatchTrust };
    std::vector<Step> steps;
};

/// Reads a scenario. Throws std::runtime_error that names file and line for an unknown word or a wrong value.
Scenario parseScenario(const std::string& text, const std::string& file);

/// Reads a scenario from a file.
Scenario loadScenario(const std::string& path);

} // namespace Ibisturn::Scenarios
