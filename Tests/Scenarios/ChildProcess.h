#pragma once

#include <sys/types.h>

#include <string>
#include <vector>

namespace Ibisturn::Scenarios {

/// A process that a scenario started, with its output in a file. The destructor kills it.
/// Thread safety: one thread.
class ChildProcess {
public:
    /// Starts `arguments` with standard output and error redirected to `logFile`. Throws std::system_error.
    ChildProcess(const std::vector<std::string>& arguments, std::string logFile);
    ~ChildProcess();
    ChildProcess(const ChildProcess&) = delete;
    ChildProcess& operator=(const ChildProcess&) = delete;

    /// Waits until a line of the output contains `text` and returns it; returns an empty string after ten seconds.
    std::string awaitLine(const std::string& text) const;

    void signal(int number) const;

    /// Waits until the process has ended.
    void wait();

    const std::string& logFile() const { return logFile_; }

private:
    pid_t process_ { 0 };
    std::string logFile_;
};

} // namespace Ibisturn::Scenarios
