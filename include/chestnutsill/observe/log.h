#pragma once

#include <cstdint>
#include <initializer_list>
#include <optional>
#include <string>
#include <string_view>
#include <variant>

namespace chestnutsill {

/// Severity of a log line.
enum class LogLevel { Debug, Info, Warning, Error };

/// The severity of this name (debug, info, warning, error); nothing for another one.
[[nodiscard]] std::optional<LogLevel> toLogLevel(std::string_view name) noexcept;

/// One member of a log line.
struct LogField
{
    std::string_view name;
    std::variant<std::string, std::int64_t, double, bool> value;
};

/// Writes log lines as JSON objects to standard output, one a line, from `minimum` up. Call once at start. A
/// line that can't be written at once is dropped and counted.
void setUpLog(std::string_view instance, LogLevel minimum);

/// Writes one line with time, level, instance, event and fields. Safe from any thread.
void log(LogLevel level, std::string_view event, std::initializer_list<LogField> fields = {});

} // namespace chestnutsill
