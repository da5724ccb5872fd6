#pragma once

#include <chrono>
#include <cstdint>
#include <mutex>
#include <string>
#include <string_view>

namespace Ibisturn {

/// How many lines a LogWriter takes.
struct LogLimits {
    /// Ordinary lines in a second; a flood of them says little more.
    std::uint32_t linesPerSecond { 200 };
    /// Bytes that wait for a reader who is slow.
    std::size_t waitingBytes { 256UL * 1024 };
};

/// How a line counts towards the limits.
enum class LineKind : std::uint8_t {
    Ordinary,
    /// Warnings and errors are not counted as ordinary lines.
    Important,
};

/// Writes lines to a descriptor without ever waiting for its reader: what does not fit is dropped and counted.
/// Thread safety: all methods from any thread.
class LogWriter {
public:
    /// Precondition: `descriptor` stays open.
    explicit LogWriter(int descriptor, LogLimits limits = {});

    /// Writes a line, which ends in a newline.
    void write(std::string_view line, LineKind kind);

    /// Lines that were dropped so far.
    std::uint64_t dropped() const;

private:
    void flush();
    void noteDropped();

    int descriptor_;
    LogLimits limits_;
    mutable std::mutex mutex_;
    std::string waiting_;
    std::chrono::steady_clock::time_point second_ {};
    std::uint32_t linesInSecond_ { 0 };
    std::uint64_t dropped_ { 0 };
    std::uint64_t noted_ { 0 };
};

} // namespace Ibisturn
