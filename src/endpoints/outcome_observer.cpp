#include "src/endpoints/outcome_observer.hpp"

#include <algorithm>

namespace tulipyoke::endpoints {

using estimates::InFlightAttempt;
using estimates::PositionKind;

namespace {

constexpr Micros kMicrosPerMilli = 1000;
// An answer later than this share of its objective is a sign of overload: a whole objective leaves nothing
// for waiting or a retry.
constexpr double kLateObjectiveShare = 0.6;
// An answer of a primary within so many usual times says that it has spare capacity.
constexpr double kQuickUsualTimes = 2.0;

}  // namespace

void OutcomeObserver::ObserveAttempt(Server& server, const InFlightAttempt& attempt,
                                     const AttemptEnded& outcome, Micros now) {
  LearnLatency(server, attempt.class_index, outcome, now);
  LearnLoad(server, attempt.class_index, outcome, now);
  LearnData(server, attempt, outcome, now);
  ObserveReport(server, outcome.report, now);
}

void OutcomeObserver::LearnLatency(Server& server, int class_index, const AttemptEnded& outcome, Micros now) {
  if (outcome.status == Status::kTimeout) {
    const auto expected = static_cast<Micros>(context_.latency.Expected(server.slowness, class_index, now));
    context_.latency.Learn(server.slowness, class_index, std::max(outcome.elapsed, expected), now);
  }
  if (outcome.status != Status::kOk) return;
  context_.latency.Learn(server.slowness, class_index, outcome.elapsed, now);
  server.throughput.Add(now, context_.latency.Usual(class_index), context_.scales.work_span);
}

// A short time-out is the client's or that of a wait, and no sign of the server.
OutcomeTiming TimingOf(const AttemptEnded& outcome, const ClassSettings& c) {
  const double late_after = kLateObjectiveShare * static_cast<double>(c.latency_objective);
  const bool late = static_cast<double>(outcome.elapsed) > late_after;
  const bool ok = outcome.status == Status::kOk;
  const bool timed = ok || outcome.status == Status::kTimeout;
  return {.in_time = ok && !late, .overloaded = outcome.status == Status::kOverloaded || (late && timed)};
}

void OutcomeObserver::LearnLoad(Server& server, int class_index, const AttemptEnded& outcome, Micros now) {
  const OutcomeTiming timing = TimingOf(outcome, context_.ClassOf(class_index));
  const Micros interval = context_.scales.check_interval;
  if (timing.overloaded) server.concurrency_limit.Cut(now, server.in_flight.size(), interval);
  if (timing.in_time) server.concurrency_limit.Raise();
  Group& group = table_.GroupAt(server.group);
  const Micros fade_span = context_.scales.fade_span;
  if (group.primary == server.id) {
    const bool ok = outcome.status == Status::kOk;
    const double quick_within = kQuickUsualTimes * context_.latency.Usual(class_index);
    const bool quick = ok && static_cast<double>(outcome.elapsed) < quick_within;
    const limits::PrimaryAnswer answer{quick, timing.overloaded || (ok && !quick)};
    group.headroom.Observe(now, fade_span, context_.settings.router_count, answer);
  } else if (timing.in_time || timing.overloaded) {
    group.admission.Observe(now, fade_span, interval, timing.in_time);
  }
}

void OutcomeObserver::LearnData(Server& server, const InFlightAttempt& attempt, const AttemptEnded& outcome,
                                Micros now) {
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

// Kept by attempt and not by request: a write may go through after its request has ended.
void OutcomeObserver::RecordCommit(const Server& server, const InFlightAttempt& attempt,
                                   const AttemptEnded& outcome, Micros now) {
  if (context_.settings.token_mode != TokenMode::kStoredByRouter || attempt.key == 0) return;
  // A commit whose position is not told is taken to be now: to round up is safe.
  const bool told = outcome.position_ms.has_value();
  const Micros position = told ? *outcome.position_ms * kMicrosPerMilli : context_.PositionAt(now);
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
  // A position is never later than its report, so it dates the role; that of a primary exactly.
  table_.ObserveRole(server, values.role, *values.position + context_.settings.position_epoch);
  const Micros before = server.position.value();
  ObservePosition(server, *values.position, PositionKind::kRounded, now);
  return server.position.value() > before;
}

void OutcomeObserver::ObservePosition(Server& server, Micros position, PositionKind kind, Micros now) {
  const Micros resolution = context_.settings.clock_resolution;
  server.position.Observe(now, position, kind, context_.PositionAt(now), resolution);
}

}  // namespace tulipyoke::endpoints
