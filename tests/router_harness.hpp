// A test harness for the Router: sends it events, keeps its timers and records its actions.
#ifndef TULIPYOKE_TESTS_ROUTER_HARNESS_HPP_
#define TULIPYOKE_TESTS_ROUTER_HARNESS_HPP_

#include <algorithm>
#include <map>
#include <optional>
#include <utility>
#include <vector>

#include "tulipyoke/router.hpp"

namespace tulipyoke {

inline constexpr Micros kMs = 1000;
inline constexpr Micros kSecond = 1000 * kMs;
enum TestClass { kAnyRead, kBoundedRead, kSessionRead, kFreshRead, kKeyedWrite, kNonIdempotentWrite };

inline Settings TestSettings() {
  Settings s;
  const auto add = [&](const char* name, Freshness freshness, Idempotency idempotency) {
    ClassSettings c;
    c.name = name;
    c.freshness = freshness;
    c.staleness_bound = freshness == Freshness::kBounded ? 500 * kMs : 0;
    c.latency_objective = 400 * kMs;
    c.deadline = 1000 * kMs;
    c.priority_weight = 1;
    c.idempotency = idempotency;
    c.retry_scope = RetryScope::kCell;
    c.retry_window = 600 * kMs;
    c.late_weight = freshness == Freshness::kWrite ? 0.5 : 0;
    s.classes.push_back(c);
  };
  add("any", Freshness::kAny, Idempotency::kIdempotent);
  add("bounded", Freshness::kBounded, Idempotency::kIdempotent);
  add("session", Freshness::kSession, Idempotency::kIdempotent);
  add("fresh", Freshness::kFresh, Idempotency::kIdempotent);
  add("keyed", Freshness::kWrite, Idempotency::kWithKey);
  add("unsafe", Freshness::kWrite, Idempotency::kNone);
  s.listed_role = ListedRole::kInitial;
  s.load_report_source = LoadReportSource::kHealthChecks;
  s.report_fields = {"x0", "x1"};
  s.cancel_allowed = true;
  s.health_checks_allowed = true;
  s.retry_after = true;
  s.max_retry_after = 500 * kMs;
  s.max_attempts = 10;
  s.response_slack = 20 * kMs;
  s.slow_start_fraction = 0.2;
  s.slow_start_window = 10 * kSecond;
  s.overload_multiple = 2;
  s.overload_window = kSecond;
  s.drain_timeout = 500 * kMs;
  s.clock_resolution = kMs;
  return s;
}

inline EndpointEntry ReadyEntry(ServerId id, bool is_primary = false, int group = 0) {
  EndpointEntry e;
  e.server = id;
  e.group = group;
  e.state = ServerState::kReady;
  e.listed_primary = is_primary;
  return e;
}

class RouterHarness {
 public:
  // Server 1 is the primary; 2 and 3 are replicas.
  explicit RouterHarness(Settings settings = TestSettings(), std::uint64_t seed = 1)
      : router_(settings, seed), now_(100 * kSecond) {
    UpdateList(EndpointListKind::kCached, {ReadyEntry(1, true), ReadyEntry(2), ReadyEntry(3)});
  }

  std::vector<Action> Handle(const Event& event) {
    std::vector<Action> actions;
    router_.handle(now_, event, actions);
    all_actions_.insert(all_actions_.end(), actions.begin(), actions.end());
    for (const Action& a : actions) {
      if (const auto* t = std::get_if<SetTimer>(&a)) timers_.emplace(now_ + t->delay, t->token);
      if (const auto* s = std::get_if<Send>(&a)) ++attempt_counts_[s->id];
    }
    return actions;
  }
  std::vector<Action> UpdateList(EndpointListKind kind, std::vector<EndpointEntry> entries) {
    return Handle(EndpointListUpdate{kind, 1, std::move(entries)});
  }
  // Advances the clock and fires the timers that become due. Returns the actions of that time.
  std::vector<Action> Advance(Micros span) {
    const std::size_t from = all_actions_.size();
    const Micros end = now_ + span;
    while (!timers_.empty() && timers_.begin()->first <= end) {
      const auto [when, token] = *timers_.begin();
      timers_.erase(timers_.begin());
      now_ = std::max(now_, when);
      Handle(TimerFired{token});
    }
    now_ = end;
    return {all_actions_.begin() + static_cast<std::ptrdiff_t>(from), all_actions_.end()};
  }
  std::vector<Action> Arrive(RequestId id, int class_index, std::uint64_t key = 0,
                             Micros remaining = 1000 * kMs, int group = 0) {
    RequestArrived e;
    e.id = id;
    e.group = group;
    e.class_index = class_index;
    e.key = key;
    e.remaining = remaining;
    return Handle(e);
  }
  // Reports a successful health check whose position lags by `lag`.
  std::vector<Action> ReportHealthCheck(ServerId id, Micros lag, bool primary = false) {
    HealthCheckEnded e;
    e.server = id;
    e.report = {static_cast<float>(static_cast<double>(now_ - lag) / 1e6), primary ? 1.0F : 0.0F};
    return Handle(e);
  }
  std::vector<Action> FailHealthCheck(ServerId id) {
    HealthCheckEnded e;
    e.server = id;
    e.status = Status::kTimeout;
    return Handle(e);
  }
  // Reports the outcome of the request's newest attempt, or of `attempt` if it is given.
  std::vector<Action> EndAttempt(RequestId id, ServerId server, Status status, Role role = Role::kUnknown,
                                 std::optional<std::int64_t> position_ms = {}, int attempt = -1,
                                 bool request_ended_early = false, Micros elapsed = 20 * kMs) {
    AttemptEnded e;
    e.id = id;
    e.attempt = attempt < 0 ? attempt_counts_[id] - 1 : attempt;
    e.server = server;
    e.status = status;
    e.elapsed = elapsed;
    e.request_ended = request_ended_early || status == Status::kOk;
    e.role = role;
    e.position_ms = position_ms;
    return Handle(e);
  }
  const Router& router() const { return router_; }
  Micros now() const { return now_; }
  std::int64_t now_ms() const { return now_ / kMs; }

 private:
  Router router_;
  Micros now_;
  std::multimap<Micros, std::uint64_t> timers_;
  std::map<RequestId, int> attempt_counts_;
  std::vector<Action> all_actions_;
};

template <typename T>
std::vector<T> ActionsOfType(const std::vector<Action>& actions) {
  std::vector<T> found;
  for (const Action& a : actions) {
    if (const auto* t = std::get_if<T>(&a)) found.push_back(*t);
  }
  return found;
}

// The server that these actions send the request to, if any.
inline std::optional<ServerId> SentTo(const std::vector<Action>& actions, RequestId id) {
  for (const Send& s : ActionsOfType<Send>(actions)) {
    if (s.id == id) return s.server;
  }
  return std::nullopt;
}

// Reports health checks: server 1 is the primary, replicas 2 and 3 have the given lags.
inline void ReportPositions(RouterHarness& harness, Micros lag2 = 0, Micros lag3 = 0) {
  harness.Advance(80 * kMs);  // health checks are due again by then
  harness.ReportHealthCheck(1, 0, true);
  harness.ReportHealthCheck(2, lag2);
  harness.ReportHealthCheck(3, lag3);
}

// Settings in which servers delay a read until they have applied the position it needs.
inline Settings WaitingGuardSettings() {
  Settings s = TestSettings();
  s.staleness_guard = StalenessGuard::kWait;
  s.catch_up_wait = 50 * kMs;
  return s;
}

inline bool HasReject(const std::vector<Action>& actions, RequestId id) {
  const auto rejections = ActionsOfType<Reject>(actions);
  return std::any_of(rejections.begin(), rejections.end(), [&](const Reject& r) { return r.id == id; });
}

inline bool HasFail(const std::vector<Action>& actions, RequestId id) {
  const auto failures = ActionsOfType<Fail>(actions);
  return std::any_of(failures.begin(), failures.end(), [&](const Fail& f) { return f.id == id; });
}

// Sends a session read that states how long ago its session wrote.
inline std::vector<Action> ArriveWithToken(RouterHarness& harness, RequestId id, double ms_since_write) {
  RequestArrived e;
  e.id = id;
  e.class_index = kSessionRead;
  e.remaining = kSecond;
  e.ms_since_write = ms_since_write;
  return harness.Handle(e);
}

}  // namespace tulipyoke

#endif  // TULIPYOKE_TESTS_ROUTER_HARNESS_HPP_
