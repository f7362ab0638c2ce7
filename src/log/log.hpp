// The log: one line on standard error for each event, with the event's name and named fields; docs/on-call.md
// explains each event. As text, `tulipyoke: ` and a sentence; as JSON lines, the sentence beside all fields.
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

// The format of all lines from here on; before the first call it is text. To be called once, at the start.
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

// The line for an event, without its end. `time_ms` is milliseconds of Unix time.
std::string FormatLogLine(LogFormat format, LogLevel level, std::string_view event, std::string_view text,
                          const std::vector<LogField>& fields, std::int64_t time_ms);

}  // namespace tulipyoke

#endif  // TULIPYOKE_SRC_LOG_LOG_HPP_
