#pragma once

#include <array>
#include <chrono>
#include <cstdint>
#include <mutex>
#include <string>
#include <string_view>

namespace Ibisturn {

/// Rate and buffer limits of a LogWriter.
struct LogLimits {
    /// Lines per second of each kind that is limited; more of them add little information.
    std::uint32_t linesPerSecond { 200 };
    /// Bytes buffered while the reader is slow.
    std::size_t maxPendingBytes { 256UL * 1024 };
};

/// Which rate limit a line counts towards.
enum class LineKind : std::uint8_t {
    /// Lines on single requests, which must not displace the ordinary ones.
    Request,
    Ordinary,
    /// Warnings and errors, which are exempt from the rate limits.
    Important,
};

/// Writes lines to a file descriptor without blocking on its reader: lines that exceed the limits are dropped and counted.
/// Thread safety: all methods from any thread.
class LogWriter {
public:
    /// Precondition: `descriptor` stays open for the lifetime of the writer.
    explicit LogWriter(int descriptor, LogLimits limits = {});

    /// Whether the rate limit admits another line of this kind, which it then counts, or else counts as dropped.
    bool admit(LineKind kind);

    /// Writes an admitted line, which must end in a newline.
    void write(std::string_view line);

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
    /// By the kind of line.
    std::array<std::uint32_t, 2> linesInSecond_ {};
    std::uint64_t dropped_ { 0 };
    std::uint64_t reportedDropped_ { 0 };
};

} // namespace Ibisturn
