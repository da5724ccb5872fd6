#include "ControlCommand.h"
#include "ExplainCommand.h"
#include "FleetInstance.h"
#include "Instance.h"

#include <LibConfiguration/SettingsError.h>
#include <LibCore/Digest.h>
#include <LibKernel/HeldSignals.h>

#include <csignal>
#include <cstdlib>
#include <iostream>

#include <CLI/CLI.hpp>

namespace Ibisturn {

namespace {

constexpr int exitInvalidSettings = 2;

int check(const std::string& path)
{
    const auto settings = loadSettings(path);
    for (const auto& adjustment : settings.adjustments)
        fmt::print(stderr, "{}\n", adjustment);
    fmt::print("{}: ok\n", path);
    return 0;
}

int serve(const std::string& path, HeldSignals& signals)
{
    const auto settings = loadSettings(path);
    setLogLevel(settings.logLevel);
    std::signal(SIGPIPE, SIG_IGN);
    if (settings.fleet) {
        FleetInstance instance(settings, path);
        signals.release();
        std::_Exit(instance.run());
    }
    // Its settings are read only at the start, so there is nothing to reload.
    std::signal(SIGHUP, SIG_IGN);
    Instance instance(settings);
    signals.release();
    instance.run();
    // Suspended coroutines refer to members of the instance, and these members hold timers of the event loops, so no
    // order of destruction is safe. No output is pending.
    std::_Exit(0);
}

// Reads the key from standard input, so that it does not appear in the process list.
int printDigest()
{
    std::string key;
    std::getline(std::cin, key);
    if (key.empty())
        return 1;
    fmt::print("{}\n", digestOfKey(key).value());
    return 0;
}

void addControlOptions(CLI::App& command, ControlOptions& options, bool& json)
{
    command.add_option("--instance", options.instance, "Operators' listener of an instance, as IP:PORT")->capture_default_str();
    command.add_option("--credential-variable", options.credentialVariable, "Environment variable that holds the operator's credential")->capture_default_str();
    command.add_flag("--json", json, "Print JSON on one line");
}

/// The command line parser and the parsed values.
struct CommandLine {
    HeldSignals signals;
    CLI::App app { "ibisturn: a multi-region inference gateway" };
    std::string settingsFile;
    std::string request;
    std::vector<std::string> logFiles;
    ControlOptions control;
    ControlArguments arguments;
    bool json { false };
    std::function<int()> action;

    CommandLine()
    {
        app.set_version_flag("--version", IBISTURN_VERSION);
        app.require_subcommand(1);
        addServe();
        addControl();
    }

    void addServe()
    {
        auto* serveCommand = app.add_subcommand("serve", "Run one instance");
        serveCommand->add_option("--settings", settingsFile, "Settings file (YAML)")->required();
        serveCommand->callback([this] { action = [this] { return serve(settingsFile, signals); }; });
        auto* checkCommand = app.add_subcommand("check", "Check a settings file without starting an instance");
        checkCommand->add_option("file", settingsFile, "Settings file (YAML)")->required();
        checkCommand->callback([this] { action = [this] { return check(settingsFile); }; });
        auto* explainCommand = app.add_subcommand("explain", "Print the log lines of one request from log files of instances");
        explainCommand->add_option("request", request, "The request's id")->required();
        explainCommand->add_option("files", logFiles, "Log files of instances")->required();
        explainCommand->callback([this] { action = [this] { return explainRequest(request, logFiles, std::cout, std::cerr); }; });
        auto* digestCommand = app.add_subcommand("digest", "Print the digest of a key read from standard input");
        digestCommand->callback([this] { action = printDigest; });
    }

    void addControl()
    {
        auto* status = app.add_subcommand("status", "Show an instance's state");
        addControlOptions(*status, control, json);
        status->callback([this] { action = [this] { return runStatus(control); }; });
        auto* command = app.add_subcommand("ctl", "Read and write records");
        command->require_subcommand(1);
        addControlOptions(*command, control, json);
        auto* put = addAction(*command, "put", "Write all records of a file in one transaction", runControlPut);
        put->add_option("file", arguments.file, "YAML or JSON file with kind, name and record")->required();
        auto* apply = addAction(*command, "apply", "Update records to match the files of a folder", runControlApply);
        apply->add_option("folder", arguments.file, "Folder of YAML or JSON files")->required();
        apply->add_flag("--dry-run", arguments.isDryRun, "Show and check the differences without writing them");
        apply->add_flag("--prune", arguments.isPruning, "Delete records that no file declares");
        addNamed(*command, "history", "Show who changed a record, when and how", runControlHistory);
        addNamed(*command, "get", "Show one record", runControlGet);
        addNamed(*command, "withdraw", "Delete one record", runControlWithdraw);
        auto* list = addAction(*command, "list", "List records", runControlList);
        list->add_option("kind", arguments.kind, "Only this kind of record");
    }

    using Action = int (*)(const ControlOptions&, const ControlArguments&);

    CLI::App* addAction(CLI::App& parent, const std::string& name, const std::string& help, Action run)
    {
        auto* command = parent.add_subcommand(name, help);
        command->fallthrough();
        command->callback([this, run] { action = [this, run] { return run(control, arguments); }; });
        return command;
    }

    void addNamed(CLI::App& parent, const std::string& name, const std::string& help, Action run)
    {
        auto* command = addAction(parent, name, help, run);
        command->add_option("kind", arguments.kind, "Kind of record")->required();
        command->add_option("name", arguments.name, "Name of the record")->required();
    }
};

int runProgram(int argc, char** argv)
{
    CommandLine commandLine;
    try {
        commandLine.app.parse(argc, argv);
    } catch (const CLI::ParseError& error) {
        const int code = commandLine.app.exit(error);
        return code == 0 ? 0 : exitInvalidSettings;
    }
    if (!commandLine.app.got_subcommand("serve"))
        commandLine.signals.release();
    commandLine.control.format = commandLine.json ? OutputFormat::Json : OutputFormat::Text;
    try {
        return commandLine.action();
    } catch (const SettingsError& error) {
        fmt::print(stderr, "{}\n", error.what());
        return exitInvalidSettings;
    } catch (const std::exception& error) {
        fmt::print(stderr, "ibisturn: {}\n", error.what());
        return 1;
    }
}

} // namespace

} // namespace Ibisturn

int main(int argc, char** argv)
{
    return Ibisturn::runProgram(argc, argv);
}
