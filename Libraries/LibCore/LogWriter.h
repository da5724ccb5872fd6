#pragma once

#include <chrono>
#include <cstdint>
#include <mutex>
#include <string>
#include <string_view>

namespace Ibisturn {

/// Rate and buffer limits of a LogWriter.
struct LogLimits {
    /// Ordinary lines per second; more of them add little information.
    std::uint32_t linesPerSecond { 200 };
    /// Bytes buffered while the reader is slow.
    std::size_t maxPendingBytes { 256UL * 1024 };
};

/// Whether a line counts towards the rate limit.
enum class LineKind : std::uint8_t {
    Ordinary,
    /// Warnings and errors, which are exempt from the rate limit.
    Important,
};

/// Writes lines to a file descriptor without blocking on its reader: lines that exceed the limits are dropped and counted.
/// Thread safety: all methods from any thread.
class LogWriter {
public:
    /// Precondition: `descriptor` stays open for the lifetime of the writer.
    explicit LogWriter(int descriptor, LogLimits limits = {});

    /// Writes `line`, which must end in a newline.
    void write(std::string_view line, LineKind kind);

    /// The number of lines dropped so far.
    std::uint64_t dropped() const;

private:
    void flush();
    void reportDroppedLines();

    int descriptor_;
    LogLimits limits_;
    mutable std::mutex mutex_;
    std::string pending_;
    std::chrono::steady_clock::time_point secondStart_ {};
    std::uint32_t linesInSecond_ { 0 };
    std::uint64_t dropped_ { 0 };
    std::uint64_t reportedDropped_ { 0 };
};

} // namespace Ibisturn
