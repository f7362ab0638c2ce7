#include "src/dispatch/outcome_translator.hpp"

#include <algorithm>
#include <string_view>

namespace tulipyoke {
namespace {

// The load report field that holds the replication position in Unix milliseconds.
constexpr std::string_view kPositionField = "x0";
// The value in a Report of a field that is missing in the load report.
constexpr double kMissingField = -1;

}  // namespace

bool OutcomeTranslator::IsCommit(const Operation& operation, const Outcome& outcome) const {
  const ClassSettings& class_settings = settings_.classes[static_cast<std::size_t>(operation.class_index)];
  return class_settings.freshness == Freshness::kWrite && outcome.status == Status::kOk;
}

AttemptEnded OutcomeTranslator::ToAttemptEnded(Micros now, const Operation& operation,
                                               const Outcome& outcome) const {
  AttemptEnded event;
  event.id = operation.request;
  event.attempt = operation.attempt;
  event.server = operation.server;
  event.status = outcome.status;
  event.elapsed = now - operation.start_time;
  event.role = outcome.role;
  event.position_ms = Position(operation, outcome);
  event.report = ToReport(outcome.report);
  return event;
}

HealthCheckEnded OutcomeTranslator::ToHealthCheckEnded(Micros now, const Operation& operation,
                                                       const Outcome& outcome) const {
  return {operation.server, outcome.status, now - operation.start_time, ToReport(outcome.report)};
}

ServerObservation OutcomeTranslator::ToServerObservation(Micros now, const Operation& operation,
                                                         const Outcome& outcome) const {
  const std::optional<std::int64_t> position =
      IsCommit(operation, outcome) ? std::nullopt : Position(operation, outcome);
  return {operation.server, outcome.role, now, position.value_or(0)};
}

std::optional<std::int64_t> OutcomeTranslator::Position(const Operation& operation,
                                                        const Outcome& outcome) const {
  if (!outcome.position_unix_ms || !position_scale_.IsAfterEpoch(*outcome.position_unix_ms))
    return std::nullopt;
  const std::int64_t unix_ms = *outcome.position_unix_ms;
  return IsCommit(operation, outcome) ? position_scale_.FromUnixMsRoundedUp(unix_ms)
                                      : position_scale_.FromUnixMsRoundedDown(unix_ms);
}

Report OutcomeTranslator::ToReport(const LoadReport& fields) const {
  Report report;
  if (fields.empty()) return report;
  for (const std::string& name : settings_.report_fields) {
    const auto found = std::find_if(fields.begin(), fields.end(),
                                    [&](const LoadReportField& field) { return field.name == name; });
    double value = found == fields.end() ? kMissingField : found->value;
    if (name == kPositionField && value > 0) value = position_scale_.ToReportSeconds(value);
    report.push_back(value);
  }
  return report;
}

}  // namespace tulipyoke
