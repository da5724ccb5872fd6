#pragma once

#include <cstdint>
#include <initializer_list>
#include <optional>
#include <string>
#include <string_view>

#include <LibCore/LogWriter.h>

#include <fmt/format.h>

namespace Ibisturn {

enum class LogLevel : std::uint8_t {
    Debug,
    Info,
    Warning,
    Error,
};

/// The level named `name`, if there is one. Thread safety: any thread.
std::optional<LogLevel> logLevelFromName(std::string_view name);

/// Sets the minimum level that is written, for the whole process. Thread safety: any thread.
void setLogLevel(LogLevel level);

/// The number of lines dropped because of the rate limit or because standard output was not read. Thread safety: any thread.
std::uint64_t droppedLogLines();

/// One key=value pair of a log line.
struct LogField {
    template <typename T>
    LogField(std::string_view name, const T& fieldValue)
        : key(name)
        , value(fmt::format("{}", fieldValue))
    {
    }

    std::string_view key;
    std::string value;
};

/// Writes log lines of one component to standard output: time, level, component, message, fields. It never blocks on the reader.
/// Thread safety: all methods from any thread.
class Log {
public:
    /// `kind` is that of its lines below the level of warnings.
    /// Precondition: `component` outlives the log, usually as a string literal.
    explicit constexpr Log(std::string_view component, LineKind kind = LineKind::Ordinary)
        : component_(component)
        , kind_(kind)
    {
    }

    /// Precondition for all four: no key and no prompt text in the message or the fields.
    void debug(std::string_view message, std::initializer_list<LogField> fields = {}) const;
    void info(std::string_view message, std::initializer_list<LogField> fields = {}) const;
    void warning(std::string_view message, std::initializer_list<LogField> fields = {}) const;
    void error(std::string_view message, std::initializer_list<LogField> fields = {}) const;

private:
    void write(LogLevel level, std::string_view message, std::initializer_list<LogField> fields) const;

    std::string_view component_;
    LineKind kind_;
};

} // namespace Ibisturn
