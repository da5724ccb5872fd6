#pragma once

#include <LibConfiguration/Settings.h>
#include <LibKernel/HttpClient.h>

#include <string>

namespace Ibisturn {

enum class OutputFormat : std::uint8_t {
    Text,
    Json,
};

/// How an operator's command reaches an instance.
struct ControlOptions {
    /// The operators' listener of any instance.
    std::string instance { "127.0.0.1:8201" };
    /// The name of the environment variable that holds the operator's credential.
    std::string credentialVariable { "IBISTURN_OPERATOR_KEY" };
    OutputFormat format { OutputFormat::Text };
};

/// What an operator wants done with records.
struct ControlArguments {
    std::string kind;
    std::string name;
    /// A file, or a folder of them.
    std::string file;
    /// Show what would change and write nothing.
    bool isDryRun { false };
    /// Delete records that no file declares.
    bool isPruning { false };
};

/// Each returns the exit code: 0 done, 1 refused or failed, 2 wrong arguments.
/// Thread safety: one thread.
int runControlPut(const ControlOptions& options, const ControlArguments& arguments);
int runControlGet(const ControlOptions& options, const ControlArguments& arguments);
int runControlList(const ControlOptions& options, const ControlArguments& arguments);
int runControlApply(const ControlOptions& options, const ControlArguments& arguments);
int runControlHistory(const ControlOptions& options, const ControlArguments& arguments);
int runControlWithdraw(const ControlOptions& options, const ControlArguments& arguments);
int runStatus(const ControlOptions& options);

} // namespace Ibisturn
