#include <LibCore/Log.h>

#include <LibCore/LogWriter.h>

#include <algorithm>
#include <array>
#include <atomic>
#include <chrono>
#include <unistd.h>
#include <utility>

#include <fmt/chrono.h>

namespace Ibisturn {

namespace {

constexpr std::array<std::string_view, 4> levelNames { "debug", "info", "warning", "error" };

std::atomic<LogLevel> minimumLevel { LogLevel::Info };

LogWriter& standardOutput()
{
    static LogWriter writer(STDOUT_FILENO);
    return writer;
}

/// Longer values are cut: some come from outside.
constexpr std::size_t maxValueLength = 4096;

// Quotes values with spaces or special characters, so that the fields of a line can be parsed.
void appendValue(std::string& line, std::string_view value)
{
    const auto mustBeQuoted = [](char character) { return static_cast<unsigned char>(character) <= ' ' || character == '"' || character == '=' || character == '\\'; };
    if (!value.empty() && std::none_of(value.begin(), value.end(), mustBeQuoted)) {
        line += value;
        return;
    }
    line += '"';
    for (const char character : value) {
        if (character == '"' || character == '\\')
            line += '\\';
        line += static_cast<unsigned char>(character) < ' ' ? ' ' : character;
    }
    line += '"';
}

} // namespace

std::optional<LogLevel> logLevelFromName(std::string_view name)
{
    for (std::size_t index = 0; index < levelNames.size(); ++index) {
        if (levelNames.at(index) == name)
            return static_cast<LogLevel>(index);
    }
    return std::nullopt;
}

std::uint64_t droppedLogLines()
{
    return standardOutput().dropped();
}

void setLogLevel(LogLevel level)
{
    minimumLevel = level;
}

void Log::debug(std::string_view message, std::initializer_list<LogField> fields) const
{
    write(LogLevel::Debug, message, fields);
}

void Log::info(std::string_view message, std::initializer_list<LogField> fields) const
{
    write(LogLevel::Info, message, fields);
}

void Log::warning(std::string_view message, std::initializer_list<LogField> fields) const
{
    write(LogLevel::Warning, message, fields);
}

void Log::error(std::string_view message, std::initializer_list<LogField> fields) const
{
    write(LogLevel::Error, message, fields);
}

void Log::write(LogLevel level, std::string_view message, std::initializer_list<LogField> fields) const
{
    if (level < minimumLevel.load())
        return;
    if (!standardOutput().admit(level >= LogLevel::Warning ? LineKind::Important : kind_))
        return;
    const auto now = std::chrono::system_clock::now();
    const auto milliseconds = std::chrono::duration_cast<std::chrono::milliseconds>(now.time_since_epoch()).count() % 1000;
    const auto seconds = std::chrono::system_clock::to_time_t(now);
    auto line = fmt::format("{:%Y-%m-%dT%H:%M:%S}.{:03}Z {} {}: {}", fmt::gmtime(seconds), milliseconds,
        levelNames.at(static_cast<std::size_t>(level)), component_, message);
    for (const auto& field : fields) {
        fmt::format_to(std::back_inserter(line), " {}=", field.key);
        appendValue(line, std::string_view(field.value).substr(0, maxValueLength));
        if (field.value.size() > maxValueLength)
            line += "...";
    }
    line += '\n';
    standardOutput().write(line);
}

} // namespace Ibisturn
