// One line on standard error for each event, with its name and named fields; docs/on-call.md explains each.
// As text, `tulipyoke: ` and the sentence; as JSON lines, the sentence beside all fields.
#ifndef TULIPYOKE_SRC_LOG_LOG_HPP_
#define TULIPYOKE_SRC_LOG_LOG_HPP_

#include <cstdint>
#include <string>
#include <string_view>
#include <variant>
#include <vector>

namespace tulipyoke {

enum class LogForm { kText, kJson };
enum class LogLevel { kInfo, kWarning, kError };

struct LogField {
  std::string_view name;
  std::variant<std::string, std::int64_t, double> value;
};

// From here on; before it, text. Called once, as the program starts.
void SetLogForm(LogForm form);
void LogEvent(LogLevel level, std::string_view event, std::string_view text,
              const std::vector<LogField>& fields = {});
inline void LogInfo(std::string_view event, std::string_view text, const std::vector<LogField>& fields = {}) {
  LogEvent(LogLevel::kInfo, event, text, fields);
}
inline void LogWarning(std::string_view event, std::string_view text,
                       const std::vector<LogField>& fields = {}) {
  LogEvent(LogLevel::kWarning, event, text, fields);
}
// The line without its end, in that form; `time_ms` is Unix time.
std::string LogLineFor(LogForm form, LogLevel level, std::string_view event, std::string_view text,
                       const std::vector<LogField>& fields, std::int64_t time_ms);

}  // namespace tulipyoke

#endif  // TULIPYOKE_SRC_LOG_LOG_HPP_
