#include "src/log/log.hpp"

#include <spdlog/sinks/stdout_sinks.h>
#include <spdlog/spdlog.h>

#include <chrono>
#include <memory>
#include <nlohmann/json.hpp>

namespace tulipyoke {
namespace {

constexpr const char* kName = "tulipyoke";
constexpr const char* kJsonName = "tulipyoke-json";

const char* LevelText(LogLevel level) {
  return level == LogLevel::kInfo ? "info" : level == LogLevel::kWarning ? "warning" : "error";
}

// The form is the name of the logger in spdlog's own registry: there is no state here.
std::shared_ptr<spdlog::logger> Logger() {
  const auto chosen = spdlog::default_logger();
  if (chosen->name() == kName || chosen->name() == kJsonName) return chosen;
  SetLogForm(LogForm::kText);
  return spdlog::default_logger();
}

}  // namespace

void SetLogForm(LogForm form) {
  const char* name = form == LogForm::kJson ? kJsonName : kName;
  auto logger = std::make_shared<spdlog::logger>(name, std::make_shared<spdlog::sinks::stderr_sink_mt>());
  // The line is made below: what is written is that and nothing else.
  logger->set_pattern("%v");
  logger->flush_on(spdlog::level::trace);
  spdlog::set_default_logger(logger);
}

std::string LogLineFor(LogForm form, LogLevel level, std::string_view event, std::string_view text,
                       const std::vector<LogField>& fields, std::int64_t time_ms) {
  if (form == LogForm::kText) return std::string(kName) + ": " + std::string(text);
  nlohmann::ordered_json line{
      {"time_ms", time_ms}, {"level", LevelText(level)}, {"event", event}, {"text", text}};
  for (const LogField& field : fields) {
    std::visit([&](const auto& value) { line[std::string(field.name)] = value; }, field.value);
  }
  // What servers and clients sent may be no UTF-8.
  return line.dump(-1, ' ', false, nlohmann::ordered_json::error_handler_t::replace);
}

void LogEvent(LogLevel level, std::string_view event, std::string_view text,
              const std::vector<LogField>& fields) {
  const auto logger = Logger();
  const LogForm form = logger->name() == kJsonName ? LogForm::kJson : LogForm::kText;
  const auto now = std::chrono::system_clock::now().time_since_epoch();
  const auto ms = std::chrono::duration_cast<std::chrono::milliseconds>(now).count();
  const auto spd = level == LogLevel::kInfo      ? spdlog::level::info
                   : level == LogLevel::kWarning ? spdlog::level::warn
                                                 : spdlog::level::err;
  logger->log(spd, spdlog::string_view_t(LogLineFor(form, level, event, text, fields, ms)));
}

}  // namespace tulipyoke
