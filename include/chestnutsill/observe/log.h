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

/// Parses a log level (`debug`, `info`, `warning` or `error`). Returns nothing for any other name.
[[nodiscard]] std::optional<LogLevel> toLogLevel(std::string_view name) noexcept;

/// One JSON member of a log line.
struct LogField
{
    std::string_view name;
    std::variant<std::string, std::int64_t, double, bool> value;
};

/// Sets up logging: one JSON object per line on standard output, for levels from `minimum` up. Call once at
/// start. A line that can't be written without blocking is dropped and counted.
void setUpLog(std::string_view instance, LogLevel minimum);

/// Writes one line with time, level, instance, event and fields. Thread-safe.
void log(LogLevel level, std::string_view event, std::initializer_list<LogField> fields = {});

} // namespace chestnutsill
