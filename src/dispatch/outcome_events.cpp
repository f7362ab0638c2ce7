#include "src/dispatch/outcome_events.hpp"

#include <algorithm>
#include <string_view>

namespace tulipyoke {
namespace {

// The field of a load report that holds the replication position, in Unix milliseconds.
constexpr std::string_view kPositionField = "x0";
// Stands in a Report for a field that the server did not state.
constexpr double kMissingField = -1;

}  // namespace

bool OutcomeEvents::IsCommit(const Operation& operation, const Outcome& outcome) const {
  const ClassSettings& of_class = settings_.classes[static_cast<std::size_t>(operation.class_index)];
  return of_class.freshness == Freshness::kWrite && outcome.status == Status::kOk;
}

AttemptEnded OutcomeEvents::ToAttemptEnded(Micros now, const Operation& operation,
                                           const Outcome& outcome) const {
  AttemptEnded event;
  event.id = operation.request;
  event.attempt = operation.attempt;
  event.server = operation.server;
  event.status = outcome.status;
  event.elapsed = now - operation.started;
  event.role = outcome.role;
  event.position_ms = Position(operation, outcome);
  event.report = ToReport(outcome.report);
  return event;
}

HealthCheckEnded OutcomeEvents::ToProbeEnded(Micros now, const Operation& operation,
                                             const Outcome& outcome) const {
  return {operation.server, outcome.status, now - operation.started, ToReport(outcome.report)};
}

ServerObservation OutcomeEvents::ToServerShown(Micros now, const Operation& operation,
                                               const Outcome& outcome) const {
  const std::optional<std::int64_t> position =
      IsCommit(operation, outcome) ? std::nullopt : Position(operation, outcome);
  return {operation.server, outcome.role, now, position.value_or(0)};
}

std::optional<std::int64_t> OutcomeEvents::Position(const Operation& operation,
                                                    const Outcome& outcome) const {
  if (!outcome.position_unix_ms || !positions_.IsAfterOrigin(*outcome.position_unix_ms)) return std::nullopt;
  const std::int64_t unix_ms = *outcome.position_unix_ms;
  return IsCommit(operation, outcome) ? positions_.RoundUp(unix_ms) : positions_.RoundDown(unix_ms);
}

Report OutcomeEvents::ToReport(const LoadReport& fields) const {
  Report report;
  if (fields.empty()) return report;
  for (const std::string& name : settings_.report_fields) {
    const auto found = std::find_if(fields.begin(), fields.end(),
                                    [&](const LoadReportField& field) { return field.name == name; });
    double value = found == fields.end() ? kMissingField : found->value;
    if (name == kPositionField && value > 0) value = positions_.ToReportSeconds(value);
    report.push_back(value);
  }
  return report;
}

}  // namespace tulipyoke
