#include "ChildProcess.h"

#include <chrono>
#include <csignal>
#include <fcntl.h>
#include <fstream>
#include <spawn.h>
#include <sys/wait.h>
#include <system_error>
#include <thread>
#include <unistd.h>
#include <utility>

namespace Ibisturn::Scenarios {

namespace {

constexpr auto lineTimeout = std::chrono::seconds(10);
constexpr auto linePollInterval = std::chrono::milliseconds(10);
constexpr int logMode = 0600;

} // namespace

ChildProcess::ChildProcess(const std::vector<std::string>& arguments, std::string logFile)
    : logFile_(std::move(logFile))
{
    std::vector<char*> argumentPointers;
    argumentPointers.reserve(arguments.size() + 1);
    for (const auto& argument : arguments)
        argumentPointers.push_back(const_cast<char*>(argument.c_str())); // NOLINT: posix_spawn does not change them
    argumentPointers.push_back(nullptr);
    posix_spawn_file_actions_t actions;
    posix_spawn_file_actions_init(&actions);
    posix_spawn_file_actions_addopen(&actions, STDOUT_FILENO, logFile_.c_str(), O_WRONLY | O_CREAT | O_TRUNC | O_APPEND, logMode);
    posix_spawn_file_actions_adddup2(&actions, STDOUT_FILENO, STDERR_FILENO);
    // A child that inherited a link's socket would keep the connection open after the scenario has cut the link.
    posix_spawn_file_actions_addclosefrom_np(&actions, STDERR_FILENO + 1);
    const auto error = posix_spawn(&process_, argumentPointers.front(), &actions, nullptr, argumentPointers.data(), environ);
    posix_spawn_file_actions_destroy(&actions);
    if (error != 0)
        throw std::system_error(error, std::generic_category(), arguments.front());
}

ChildProcess::~ChildProcess()
{
    if (process_ == 0)
        return;
    signal(SIGKILL);
    wait();
}

std::string ChildProcess::awaitLine(const std::string& text) const
{
    const auto deadline = std::chrono::steady_clock::now() + lineTimeout;
    while (std::chrono::steady_clock::now() < deadline) {
        std::ifstream file(logFile_);
        for (std::string line; std::getline(file, line);) {
            // A line without a newline may still be incomplete.
            if (line.find(text) != std::string::npos && !file.eof())
                return line;
        }
        std::this_thread::sleep_for(linePollInterval);
    }
    return "";
}

void ChildProcess::signal(int number) const
{
    if (process_ != 0)
        ::kill(process_, number);
}

void ChildProcess::wait()
{
    if (process_ == 0)
        return;
    int status = 0;
    waitpid(process_, &status, 0);
    process_ = 0;
}

} // namespace Ibisturn::Scenarios
