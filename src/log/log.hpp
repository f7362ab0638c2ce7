// Structured log: writes one line per event to standard error. The text format is `tulipyoke: ` and a
// sentence; the JSON format adds the event's name, the level, the time and all fields. docs/on-call.md
// explains each event.
#ifndef TULIPYOKE_SRC_LOG_LOG_HPP_
#define TULIPYOKE_SRC_LOG_LOG_HPP_

#include <cstdint>
#include <string>
#include <string_view>
#include <variant>
#include <vector>

namespace tulipyoke {

enum class LogFormat { kText, kJson };
enum class LogLevel { kInfo, kWarning, kError };

struct LogField {
  std::string_view name;
  std::variant<std::string, std::int64_t, double> value;
};

// Sets the format of all later lines; the default is text. Call it once, at startup.
void SetLogFormat(LogFormat format);

// Safe to call from any thread.
void LogEvent(LogLevel level, std::string_view event, std::string_view text,
              const std::vector<LogField>& fields = {});
inline void LogInfo(std::string_view event, std::string_view text, const std::vector<LogField>& fields = {}) {
  LogEvent(LogLevel::kInfo, event, text, fields);
}
inline void LogWarning(std::string_view event, std::string_view text,
                       const std::vector<LogField>& fields = {}) {
  LogEvent(LogLevel::kWarning, event, text, fields);
}

// Returns the line for an event, without the newline. `time_ms` is Unix time in milliseconds. The text format
// contains only `text`.
std::string FormatLogLine(LogFormat format, LogLevel level, std::string_view event, std::string_view text,
                          const std::vector<LogField>& fields, std::int64_t time_ms);

}  // namespace tulipyoke

#endif  // TULIPYOKE_SRC_LOG_LOG_HPP_
