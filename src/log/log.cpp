#include "src/log/log.hpp"

#include <spdlog/sinks/stdout_sinks.h>
#include <spdlog/spdlog.h>

#include <chrono>
#include <memory>
#include <nlohmann/json.hpp>

namespace tulipyoke {
namespace {

// Names of the spdlog logger, one for each format. Lines of the text format also start with kTextLoggerName.
constexpr const char* kTextLoggerName = "tulipyoke";
constexpr const char* kJsonLoggerName = "tulipyoke-json";

const char* LevelName(LogLevel level) {
  switch (level) {
    case LogLevel::kInfo:
      return "info";
    case LogLevel::kWarning:
      return "warning";
    case LogLevel::kError:
      break;
  }
  return "error";
}

spdlog::level::level_enum ToSpdlogLevel(LogLevel level) {
  switch (level) {
    case LogLevel::kInfo:
      return spdlog::level::info;
    case LogLevel::kWarning:
      return spdlog::level::warn;
    case LogLevel::kError:
      break;
  }
  return spdlog::level::err;
}

// Returns spdlog's default logger. Its name records the format, so this file keeps no state of its own.
// Sets the text format first if none was set.
std::shared_ptr<spdlog::logger> CurrentLogger() {
  const auto logger = spdlog::default_logger();
  if (logger->name() == kTextLoggerName || logger->name() == kJsonLoggerName) return logger;
  SetLogFormat(LogFormat::kText);
  return spdlog::default_logger();
}

std::int64_t UnixTimeMilliseconds() {
  const auto since_epoch = std::chrono::system_clock::now().time_since_epoch();
  return std::chrono::duration_cast<std::chrono::milliseconds>(since_epoch).count();
}

}  // namespace

void SetLogFormat(LogFormat format) {
  const char* name = format == LogFormat::kJson ? kJsonLoggerName : kTextLoggerName;
  auto logger = std::make_shared<spdlog::logger>(name, std::make_shared<spdlog::sinks::stderr_sink_mt>());
  logger->set_pattern("%v");  // FormatLogLine formats the complete line
  logger->flush_on(spdlog::level::trace);
  spdlog::set_default_logger(logger);
}

std::string FormatLogLine(LogFormat format, LogLevel level, std::string_view event, std::string_view text,
                          const std::vector<LogField>& fields, std::int64_t time_ms) {
  if (format == LogFormat::kText) return std::string(kTextLoggerName) + ": " + std::string(text);
  nlohmann::ordered_json line{
      {"time_ms", time_ms}, {"level", LevelName(level)}, {"event", event}, {"text", text}};
  for (const LogField& field : fields) {
    std::visit([&](const auto& value) { line[std::string(field.name)] = value; }, field.value);
  }
  // Text that servers or clients sent may not be valid UTF-8: invalid bytes are replaced.
  return line.dump(-1, ' ', false, nlohmann::ordered_json::error_handler_t::replace);
}

void LogEvent(LogLevel level, std::string_view event, std::string_view text,
              const std::vector<LogField>& fields) {
  const auto logger = CurrentLogger();
  const LogFormat format = logger->name() == kJsonLoggerName ? LogFormat::kJson : LogFormat::kText;
  const std::string line = FormatLogLine(format, level, event, text, fields, UnixTimeMilliseconds());
  logger->log(ToSpdlogLevel(level), spdlog::string_view_t(line));
}

}  // namespace tulipyoke
