#pragma once

#include <sys/types.h>

#include <string>
#include <vector>

namespace Ibisturn::Scenarios {

/// A process that a scenario started, with its output in a file. It is killed when the object goes.
/// Thread safety: one thread.
class ChildProcess {
public:
    /// Starts `arguments` with standard output and error in `logFile`. Throws std::system_error.
    ChildProcess(const std::vector<std::string>& arguments, std::string logFile);
    ~ChildProcess();
    ChildProcess(const ChildProcess&) = delete;
    ChildProcess& operator=(const ChildProcess&) = delete;

    /// Waits until a line of the output holds `text` and returns it; empty after ten seconds.
    std::string awaitLine(const std::string& text) const;

    /// Sends a signal.
    void signal(int number) const;

    /// Waits for the end.
    void wait();

    const std::string& logFile() const { return logFile_; }

private:
    pid_t process_ { 0 };
    std::string logFile_;
};

} // namespace Ibisturn::Scenarios
