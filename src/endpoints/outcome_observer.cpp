#include "src/endpoints/outcome_observer.hpp"

#include <algorithm>

namespace tulipyoke::endpoints {

using estimates::InFlightAttempt;
using estimates::PositionKind;

namespace {

constexpr Micros kMicrosPerMilli = 1000;
// A response that takes longer than this share of its latency objective is a sign of overload. With the
// whole objective as the threshold, no time would remain for waiting or a retry.
constexpr double kLateThresholdShare = 0.6;
// A primary that responds within this multiple of the typical latency has spare capacity.
constexpr double kFastThresholdRatio = 2.0;

}  // namespace

void OutcomeObserver::ObserveAttempt(Server& server, const InFlightAttempt& attempt,
                                     const AttemptEnded& outcome, Micros now) {
  UpdateLatencyModel(server, attempt.class_index, outcome, now);
  UpdateLoadLimits(server, attempt.class_index, outcome, now);
  UpdateRoleAndPosition(server, attempt, outcome, now);
  ObserveReport(server, outcome.report, now);
}

void OutcomeObserver::UpdateLatencyModel(Server& server, int class_index, const AttemptEnded& outcome,
                                         Micros now) {
  if (outcome.status == Status::kTimeout) {
    const auto expected =
        static_cast<Micros>(context_.latency.ExpectedLatency(server.latency_ratio, class_index, now));
    context_.latency.AddSample(server.latency_ratio, class_index, std::max(outcome.elapsed, expected), now);
  }
  if (outcome.status != Status::kOk) return;
  context_.latency.AddSample(server.latency_ratio, class_index, outcome.elapsed, now);
  server.throughput.Add(now, context_.latency.TypicalLatency(class_index), context_.scales.throughput_window);
}

// A short timeout comes from the client or from a bounded wait and says nothing about the server.
OutcomeTiming ClassifyTiming(const AttemptEnded& outcome, const ClassSettings& c) {
  const double late_threshold = kLateThresholdShare * static_cast<double>(c.latency_objective);
  const bool late = static_cast<double>(outcome.elapsed) > late_threshold;
  const bool ok = outcome.status == Status::kOk;
  const bool timed = ok || outcome.status == Status::kTimeout;
  return {.in_time = ok && !late, .overloaded = outcome.status == Status::kOverloaded || (late && timed)};
}

void OutcomeObserver::UpdateLoadLimits(Server& server, int class_index, const AttemptEnded& outcome,
                                       Micros now) {
  const OutcomeTiming timing = ClassifyTiming(outcome, context_.ClassOf(class_index));
  const Micros interval = context_.scales.housekeeping_interval;
  if (timing.overloaded) server.concurrency_limit.Decrease(now, server.in_flight.size(), interval);
  if (timing.in_time) server.concurrency_limit.Increase();
  Group& group = table_.GroupAt(server.group);
  const Micros decay_time = context_.scales.decay_time;
  if (group.primary == server.id) {
    const bool ok = outcome.status == Status::kOk;
    const double fast_threshold = kFastThresholdRatio * context_.latency.TypicalLatency(class_index);
    const bool fast = ok && static_cast<double>(outcome.elapsed) < fast_threshold;
    const limits::PrimaryResponse response{fast, timing.overloaded || (ok && !fast)};
    group.headroom.Observe(now, decay_time, context_.settings.router_count, response);
  } else if (timing.in_time || timing.overloaded) {
    group.admission.Observe(now, decay_time, interval, timing.in_time);
  }
}

void OutcomeObserver::UpdateRoleAndPosition(Server& server, const InFlightAttempt& attempt,
                                            const AttemptEnded& outcome, Micros now) {
  const bool write = context_.ClassOf(attempt.class_index).freshness == Freshness::kWrite;
  table_.ObserveRole(server, outcome.role, now);
  const bool rejected_write = write && outcome.status == Status::kStaleOrWrongRole;
  if (rejected_write && outcome.role != Role::kPrimary) table_.ObserveRole(server, Role::kReplica, now);
  if (write && outcome.status == Status::kOk) {
    RecordCommit(server, attempt, outcome, now);
  } else if (outcome.position_ms && outcome.role != Role::kPrimary) {
    ObservePosition(server, *outcome.position_ms * kMicrosPerMilli, PositionKind::kExact, now);
  }
}

// The session key is stored per attempt, not per request, because a write may succeed after its request has
// ended.
void OutcomeObserver::RecordCommit(const Server& server, const InFlightAttempt& attempt,
                                   const AttemptEnded& outcome, Micros now) {
  if (context_.settings.token_mode != TokenMode::kStoredByRouter || attempt.key == 0) return;
  // A commit without a reported position is assumed to be at the current time: rounding up is safe.
  const bool has_position = outcome.position_ms.has_value();
  const Micros position = has_position ? *outcome.position_ms * kMicrosPerMilli : context_.PositionAt(now);
  tokens_.Record(attempt.key, server.group, position);
}

void OutcomeObserver::ObserveServer(Server& server, const ServerObservation& observation, Micros now) {
  table_.ObserveRole(server, observation.role, observation.role_time);
  if (observation.role == Role::kPrimary || observation.position_ms <= 0) return;
  ObservePosition(server, observation.position_ms * kMicrosPerMilli, PositionKind::kExact, now);
}

bool OutcomeObserver::ObserveReport(Server& server, const Report& report, Micros now) {
  const estimates::LoadReport values = context_.report_reader.Read(report);
  if (values.queue_length) server.queue.Observe(now, *values.queue_length);
  if (values.in_service) context_.service_concurrency.Observe(*values.in_service);
  if (!values.position || *values.position > context_.PositionAt(now)) return false;
  // A position is never later than its report, so it is used as the time of the role. For a primary it is
  // exact.
  table_.ObserveRole(server, values.role, *values.position + context_.settings.position_epoch);
  const Micros previous = server.position.value();
  ObservePosition(server, *values.position, PositionKind::kRounded, now);
  return server.position.value() > previous;
}

void OutcomeObserver::ObservePosition(Server& server, Micros position, PositionKind kind, Micros now) {
  const Micros resolution = context_.settings.clock_resolution;
  server.position.Observe(now, position, kind, context_.PositionAt(now), resolution);
}

}  // namespace tulipyoke::endpoints
