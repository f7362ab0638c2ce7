// Implements Router: dispatches each event to the policy components that handle it.
#include "tulipyoke/router.hpp"

#include <algorithm>
#include <limits>

#include "src/endpoints/endpoint_table.hpp"
#include "src/endpoints/health_checks.hpp"
#include "src/endpoints/list_refresh.hpp"
#include "src/endpoints/outcome_observer.hpp"
#include "src/endpoints/routing_context.hpp"
#include "src/endpoints/warm_rates.hpp"
#include "src/policy/outlier_detection.hpp"
#include "src/policy/request_router.hpp"
#include "src/policy/slow_start.hpp"
#include "src/sessions/consistency_tokens.hpp"

namespace tulipyoke {
namespace {

constexpr std::uint64_t kHousekeepingTimer = std::numeric_limits<std::uint64_t>::max();
constexpr Micros kMicrosPerMilli = 1000;
// A session's commit is kept for at least this many lifetimes before it may be merged into the floor of its
// group.
constexpr int kCommitRetentionFactor = 4;

static_assert(sessions::kNoPosition == estimates::kNoPosition);

}  // namespace

struct Router::State {
  using EventScope = endpoints::EventScope;
  using Server = endpoints::Server;

  State(const Settings& settings, std::uint64_t seed)
      : context(settings, seed),
        table(context),
        checks(context),
        list_refresh(context),
        slow_start(context, table),
        requests(context, table, checks, slow_start, tokens),
        outliers(context, checks),
        observer(context, table, tokens) {}

  void Handle(Micros clock, const Event& event, std::vector<Action>& actions) {
    now = std::max(now, clock);
    EventScope scope{now, actions};
    std::visit([&](const auto& e) { On(e, scope); }, event);
    if (housekeeping_scheduled) return;
    housekeeping_scheduled = true;
    actions.emplace_back(SetTimer{context.scales.housekeeping_interval, kHousekeepingTimer});
  }

  void On(const RequestArrived& event, EventScope& scope) { requests.Arrive(event, scope); }
  void On(const AttemptEnded& event, EventScope& scope) {
    Server* server = table.Find(event.server);
    Micros sent = scope.now - event.elapsed;
    if (const auto attempt = server ? server->in_flight.Remove(event.id, event.attempt) : std::nullopt) {
      sent = attempt->sent;
      outliers.ObserveAttempt(*server, *attempt, event, scope);
      observer.ObserveAttempt(*server, *attempt, event, scope.now);
    }
    requests.AttemptEnded(event, sent, scope);
    if (server) requests.RouteParked(server->group, scope);
  }
  // No action: the outcome of the attempt ends the request.
  void On(const ResponseStarted&, EventScope&) {}
  void On(const HealthCheckEnded& event, EventScope& scope) {
    Server* server = table.Find(event.server);
    if (!server) return;
    outliers.ObserveHealthCheck(*server, event.status, scope);
    if (event.status == Status::kOk) {
      const bool newer_position = observer.ObserveReport(*server, event.report, scope.now);
      checks.UpdateInterval(server->health_check, newer_position);
    }
    requests.RouteParked(server->group, scope);
  }
  void On(const EndpointListUpdate& event, EventScope& scope) {
    if (event.kind == EndpointListKind::kFailed) list_refresh.OnFetchFailed(scope.now);
    table.Apply(event, checks, scope);
    requests.RouteAllParked(scope);
  }
  void On(const TimerFired& event, EventScope& scope) {
    if (event.token == kHousekeepingTimer) return Housekeep(scope);
    requests.TimeOut(event.token, scope);
  }
  void On(const RequestCancelled& event, EventScope& scope) { requests.Cancel(event.id, scope); }
  void On(const PeerMessage&, EventScope&) {}
  // All processes of a router count as one router to clients: a commit that one of them reported binds each.
  void On(const SessionCommit& event, EventScope&) {
    tokens.Record(event.key, event.group, event.position_ms * kMicrosPerMilli);
  }
  void On(const ServerObservation& event, EventScope& scope) {
    if (Server* server = table.Find(event.server)) observer.ObserveServer(*server, event, scope.now);
  }
  void On(const SessionSync& event, EventScope& scope) {
    requests.SetSessionsKnown(event.complete);
    if (!event.lost) return;
    for (const auto& [number, group] : table.groups()) {
      tokens.RaiseFloor(number, context.PositionAt(scope.now));
    }
  }

  void Housekeep(EventScope& scope) {
    housekeeping_scheduled = false;
    list_refresh.RunIfDue(scope);
    table.UpdateLastOpenTimes(scope.now);
    for (auto& [id, server] : table.servers()) {
      const limits::Ejection& ejection = server.ejection;
      const bool trial_due = ejection.ejected() && !ejection.InBackoff(scope.now);
      if (trial_due) checks.Request(server, ejection.backoff(), scope);
    }
    table.RemoveGoneServers(scope.now);
    endpoints::UpdateWarmThroughputs(context, table, scope.now);
    requests.RouteAllParked(scope);
    const Micros lifetime = std::max(context.settings.slow_start_window, context.scales.longest_deadline);
    tokens.Compact(context.PositionAt(scope.now) - kCommitRetentionFactor * lifetime);
  }

  endpoints::RoutingContext context;
  endpoints::EndpointTable table;
  endpoints::HealthChecks checks;
  endpoints::ListRefresh list_refresh;
  sessions::ConsistencyTokens tokens;
  policy::SlowStart slow_start;
  policy::RequestRouter requests;
  policy::OutlierDetection outliers;
  endpoints::OutcomeObserver observer;
  Micros now = 0;
  bool housekeeping_scheduled = false;
};

Router::Router(const Settings& settings, std::uint64_t seed)
    : state_(std::make_unique<State>(settings, seed)) {}
Router::~Router() = default;
Router::Router(Router&&) noexcept = default;
Router& Router::operator=(Router&&) noexcept = default;

void Router::handle(Micros now, const Event& event, std::vector<Action>& actions) {
  state_->Handle(now, event, actions);
}

bool Router::avoids(Micros now, ServerId id) const {
  const endpoints::Server* server = state_->table.Find(id);
  return server && (!server->open || server->ejection.ejected() || server->ejection.InBackoff(now));
}

std::vector<SessionCommit> Router::known_commits(std::uint64_t key) const {
  return state_->tokens.KnownCommits(key);
}

ServerObservation Router::observation(ServerId id) const {
  const endpoints::Server* server = state_->table.Find(id);
  if (!server) return ServerObservation{id};
  return {id, server->role, server->role_time, server->position.value() / kMicrosPerMilli};
}

}  // namespace tulipyoke
