#include <LibCore/LogWriter.h>

#include <algorithm>
#include <limits.h>
#include <poll.h>
#include <unistd.h>

#include <fmt/format.h>

namespace Ibisturn {

LogWriter::LogWriter(int descriptor, LogLimits limits)
    : descriptor_(descriptor)
    , limits_(limits)
{
}

bool LogWriter::admit(LineKind kind)
{
    const std::scoped_lock lock(mutex_);
    const auto now = std::chrono::steady_clock::now();
    if (now - secondStart_ >= std::chrono::seconds(1)) {
        secondStart_ = now;
        linesInSecond_ = {};
        reportDroppedLines();
    }
    if (kind == LineKind::Important)
        return true;
    auto& lines = linesInSecond_.at(static_cast<std::size_t>(kind));
    if (lines >= limits_.linesPerSecond) {
        ++dropped_;
        flush();
        return false;
    }
    ++lines;
    return true;
}

void LogWriter::write(std::string_view line)
{
    const std::scoped_lock lock(mutex_);
    if (pending_.size() + line.size() > limits_.maxPendingBytes)
        ++dropped_;
    else
        pending_ += line;
    flush();
}

std::uint64_t LogWriter::dropped() const
{
    const std::scoped_lock lock(mutex_);
    return dropped_;
}

// When poll() reports a pipe as writable, a write of up to PIPE_BUF bytes does not block.
void LogWriter::flush()
{
    while (!pending_.empty()) {
        pollfd state { descriptor_, POLLOUT, 0 };
        if (::poll(&state, 1, 0) <= 0 || (state.revents & POLLOUT) == 0)
            return;
        const auto count = ::write(descriptor_, pending_.data(), std::min<std::size_t>(pending_.size(), PIPE_BUF));
        if (count <= 0)
            return;
        pending_.erase(0, static_cast<std::size_t>(count));
    }
}

void LogWriter::reportDroppedLines()
{
    if (dropped_ == reportedDropped_)
        return;
    pending_ += fmt::format("warning log: Lines dropped. lines={} in_all={}\n", dropped_ - reportedDropped_, dropped_);
    reportedDropped_ = dropped_;
}

} // namespace Ibisturn
