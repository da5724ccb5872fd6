#pragma once

#include <LibConfiguration/Settings.h>
#include <LibKernel/HttpClient.h>

#include <string>

namespace Ibisturn {

enum class OutputFormat : std::uint8_t {
    Text,
    Json,
};

/// How a command of an operator connects to an instance and prints its output.
struct ControlOptions {
    /// Address of any instance's operators' listener.
    std::string instance { "127.0.0.1:8201" };
    /// The name of the environment variable that holds the operator's credential.
    std::string credentialVariable { "IBISTURN_OPERATOR_KEY" };
    OutputFormat format { OutputFormat::Text };
};

/// Arguments of the `ctl` commands.
struct ControlArguments {
    std::string kind;
    std::string name;
    /// A file with declarations, or a folder of such files.
    std::string file;
    /// Show the changes without writing them.
    bool isDryRun { false };
    /// Delete records that no file declares.
    bool isPruning { false };
};

/// Each command returns its exit code: 0 for success, 1 if it was refused or failed, 2 for invalid arguments.
/// Thread safety: one thread.
int runControlPut(const ControlOptions& options, const ControlArguments& arguments);
int runControlGet(const ControlOptions& options, const ControlArguments& arguments);
int runControlList(const ControlOptions& options, const ControlArguments& arguments);
int runControlApply(const ControlOptions& options, const ControlArguments& arguments);
int runControlHistory(const ControlOptions& options, const ControlArguments& arguments);
int runControlWithdraw(const ControlOptions& options, const ControlArguments& arguments);
int runStatus(const ControlOptions& options);

} // namespace Ibisturn
