#include "src/policy/request_router.hpp"

#include <algorithm>
#include <cmath>

#include "src/endpoints/warm_rates.hpp"

namespace tulipyoke::policy {
namespace {

// How many servers a read asks to report their queue, and how many may reject it as too stale. One in three
// is usually healthy, even during most outages.
constexpr int kMaxReplicasTried = 3;
constexpr double kMicrosPerMilli = 1e3;
constexpr double kMaxMicrosSinceWrite = 1e15;

}  // namespace

RequestRouter::RequestRouter(endpoints::RoutingContext& context, endpoints::EndpointTable& table,
                             endpoints::HealthChecks& checks, SlowStart& slow_start,
                             sessions::ConsistencyTokens& tokens)
    : context_(context),
      table_(table),
      checks_(checks),
      slow_start_(slow_start),
      tokens_(tokens),
      selector_(context, table, slow_start),
      admission_(context, table),
      retry_policy_(context) {}

Request* RequestRouter::Find(RequestId id) {
  const auto found = requests_.find(id);
  return found == requests_.end() ? nullptr : &found->second;
}

void RequestRouter::Arrive(const RequestArrived& event, EventScope& scope) {
  const bool known_class = event.class_index >= 0 &&
                           static_cast<std::size_t>(event.class_index) < context_.settings.classes.size();
  // Requests to groups without any listed server are not stored; otherwise clients could exhaust the memory.
  if (!known_class || !table_.HasGroup(event.group)) {
    scope.actions.emplace_back(Reject{event.id, 0});
    return;
  }
  const Micros remaining = std::max<Micros>(event.remaining, 0);
  Request request{.id = event.id, .class_index = event.class_index, .group = event.group, .key = event.key};
  request.arrived = scope.now - event.waited;
  request.deadline = scope.now + remaining;
  request.priority = admission_.PriorityOf(event.class_index, event.remaining + event.waited);
  request.session_position = SessionPosition(event, scope.now);
  retry_policy_.Refill();
  checks_.Refill();
  Request& stored = requests_[event.id] = request;
  scope.actions.emplace_back(SetTimer{remaining, event.id});
  Route(stored, scope);
}

Micros RequestRouter::SessionPosition(const RequestArrived& event, Micros now) const {
  if (context_.ClassOf(event.class_index).freshness != Freshness::kSession) return estimates::kNoPosition;
  const Micros present = context_.PositionAt(now);
  if (context_.settings.token_mode != TokenMode::kSentByClient) {
    return sessions_known_ ? tokens_.Required(event.key, event.group) : present;
  }
  if (!(event.ms_since_write > 0)) return estimates::kNoPosition;
  // The float may have been rounded up, so the next lower one is used.
  const float rounded_down = std::nextafter(static_cast<float>(event.ms_since_write), 0.0F);
  const double since_write =
      std::min(static_cast<double>(rounded_down) * kMicrosPerMilli, kMaxMicrosSinceWrite);
  return present - static_cast<Micros>(since_write);
}

void RequestRouter::Route(Request& request, EventScope& scope) {
  const bool too_late = scope.now >= retry_policy_.LatestSendTime(request);
  if (too_late || !retry_policy_.MayAttempt(request, scope.now)) return RejectOrFail(request, scope);
  if (endpoints::NeedsPrimary(context_.ClassOf(request.class_index))) return RouteToPrimary(request, scope);
  RouteRead(request, scope);
}

void RequestRouter::RouteToPrimary(Request& request, EventScope& scope) {
  if (Server* primary = selector_.ChoosePrimary(request, scope.now)) return Send(request, *primary, scope);
  const Server* known_primary = table_.Find(table_.GroupAt(request.group).primary);
  const bool healthy = known_primary && known_primary->open &&
                       !known_primary->ejection.InBackoff(scope.now) &&
                       known_primary->AdmitsTrial(context_.settings.health_checks_allowed);
  // The primary only lacks capacity at the moment, and no other server can take the request.
  if (healthy) return parked_.Park(request);
  const bool searching = SearchForPrimary(request.group, scope);
  const bool write = context_.ClassOf(request.class_index).freshness == Freshness::kWrite;
  Server* candidate = write && !searching ? selector_.ChooseLikelyPrimary(request, scope.now) : nullptr;
  if (candidate) return Send(request, *candidate, scope);
  parked_.Park(request);
}

bool RequestRouter::SearchForPrimary(int group, EventScope& scope) {
  bool searching = false;
  for (const ServerId id : table_.GroupAt(group).members) {
    Server& server = table_.At(id);
    checks_.Request(server, 2 * context_.scales.housekeeping_interval, scope);
    searching = searching || server.health_check.in_progress;
  }
  return searching;
}

void RequestRouter::RouteRead(Request& read, EventScope& scope) {
  if (admission_.ShouldShed(read, scope.now)) {
    const bool bounded = context_.ClassOf(read.class_index).freshness == Freshness::kBounded;
    if (bounded && !admission_.HasReplicaWithinBound(read, scope.now)) return RejectOrFail(read, scope);
    return RouteToPrimaryHeadroom(read, scope);
  }
  Server* replica = read.awaited_replica ? table_.Find(*read.awaited_replica) : nullptr;
  if (!replica || scope.now >= read.reselect_at || !selector_.IsUsable(*replica, read, scope.now)) {
    replica = selector_.ChooseReplica(read, retry_policy_.LatestSendTime(read), scope.now);
  }
  if (replica) return RouteToReplica(read, *replica, scope);
  const bool no_replica_left = selector_.NoReplicaLeft(read);
  Server* primary = no_replica_left ? selector_.ChoosePrimary(read, scope.now) : nullptr;
  if (primary) return Send(read, *primary, scope);
  WaitForAnyReplica(read, scope);
}

void RequestRouter::WaitForAnyReplica(Request& read, EventScope& scope) {
  read.failed_servers.clear();
  for (const ServerId id : table_.GroupAt(read.group).members) {
    Server& server = table_.At(id);
    if (!server.position.known()) checks_.Request(server, context_.scales.housekeeping_interval, scope);
  }
  read.awaited_replica.reset();
  parked_.Park(read);
}

void RequestRouter::RouteToReplica(Request& read, Server& replica, EventScope& scope) {
  if (WaitsForQueueReport(read, replica, scope)) return;
  const Micros needed = selector_.NeededPosition(read, scope.now);
  if (selector_.IsFreshEnough(replica, needed, scope.now)) return Send(read, replica, scope);
  // If no replica is predicted to have the position in time, the best one is tried anyway. Only after it has
  // rejected the read may the read use the primary's headroom. If servers do not check positions, a session
  // read may do so once a replica has been observed, since the read arrived, to lag too far.
  const auto time_left = static_cast<double>(retry_policy_.LatestSendTime(read) - scope.now);
  if (selector_.PredictedWait(replica, needed, scope.now) > time_left) {
    const bool servers_check_freshness = context_.settings.staleness_guard != StalenessGuard::kOff;
    const bool is_session_read = context_.ClassOf(read.class_index).freshness == Freshness::kSession;
    const bool observed_too_stale = is_session_read && replica.position.observed_at() > read.arrived;
    if (read.stale_rejections > 0 || (!servers_check_freshness && observed_too_stale))
      return RouteToPrimaryHeadroom(read, scope);
    if (servers_check_freshness && checks_.TryConsumeForRead()) return Send(read, replica, scope);
  }
  WaitForReplica(read, replica, needed, scope);
}

void RequestRouter::WaitForReplica(Request& read, Server& replica, Micros needed, EventScope& scope) {
  const Micros check_interval = context_.scales.housekeeping_interval;
  if (read.awaited_replica != replica.id || scope.now >= read.reselect_at) {
    const auto wait = static_cast<Micros>(selector_.PredictedWait(replica, needed, scope.now));
    read.reselect_at = scope.now + std::max(check_interval, wait);
  }
  read.awaited_replica = replica.id;
  checks_.Request(replica, check_interval, scope);
  parked_.Park(read);
}

// A read that would otherwise be rejected may use the primary's spare capacity.
void RequestRouter::RouteToPrimaryHeadroom(Request& read, EventScope& scope) {
  const bool granted = admission_.MayUseHeadroom(read, scope.now);
  Server* primary = granted ? selector_.ChoosePrimary(read, scope.now) : nullptr;
  if (primary && WaitsForQueueReport(read, *primary, scope)) return;
  const bool has_headroom = primary && endpoints::IsWarm(context_, *primary, scope.now) &&
                            !(selector_.QueuedWork(*primary, read.class_index, scope.now) > 0);
  if (!has_headroom) return RejectOrFail(read, scope);
  Send(read, *primary, scope);
}

// If recent responses of the group were late, or the server last reported a queue, the server must report its
// queue again before a read is sent to it.
bool RequestRouter::WaitsForQueueReport(Request& read, Server& server, EventScope& scope) {
  const Server* queried = scope.now < read.queue_check_until ? table_.Find(read.queue_check_server) : nullptr;
  if (!queried || !queried->health_check.in_progress) {
    const bool reports_queue =
        context_.report_reader.ReportsQueueLength() && context_.settings.health_checks_allowed;
    if (!reports_queue || read.queue_checks >= kMaxReplicasTried) return false;
    if (admission_.AdmitsAllReads(read.group, scope.now) && server.queue.length() < 1) return false;
    const double expected =
        context_.latency.ExpectedLatency(server.latency_ratio, read.class_index, scope.now);
    if (static_cast<double>(server.queue.Age(scope.now)) <= expected) return false;
    ++read.queue_checks;
    read.queue_check_server = server.id;
    read.queue_check_until = scope.now + context_.scales.housekeeping_interval;
    checks_.Request(server, 0, scope);
  }
  parked_.Park(read);
  return true;
}

void RequestRouter::Send(Request& request, Server& server, EventScope& scope) {
  const Micros now = scope.now;
  const ClassSettings& c = context_.ClassOf(request.class_index);
  slow_start_.RecordSend(server, request.class_index, now);
  if (server.ejection.ejected()) server.ejection.StartBackoff(now, context_.scales, context_.random);
  const bool freshness_check = selector_.NeededPosition(request, now) > server.position.value();
  server.in_flight.Add({request.id, request.attempts, request.class_index, request.key, now,
                        /*cancelled=*/false, freshness_check});
  if (!request.may_have_executed && request.in_flight == 0) {
    request.first_possible_execution = now;
    request.execution_zone = server.zone;
  }
  ++request.attempts;
  ++request.in_flight;
  request.parked = false;
  request.awaited_replica.reset();
  const bool ends_at_objective = c.idempotency == Idempotency::kIdempotent && c.late_weight <= 0;
  const Micros objective_end = std::min(request.deadline, request.arrived + c.latency_objective);
  const Micros end = ends_at_objective ? objective_end : request.deadline;
  scope.actions.emplace_back(tulipyoke::Send{request.id, server.id, std::max<Micros>(end - now, 1)});
}

void RequestRouter::AttemptEnded(const tulipyoke::AttemptEnded& outcome, Micros sent, EventScope& scope) {
  Request* request = Find(outcome.id);
  if (!request) return;
  request->in_flight = std::max(0, request->in_flight - 1);
  if (outcome.request_ended) {
    requests_.erase(outcome.id);
    return;
  }
  retry_policy_.RecordFailure(*request, outcome.status, sent);
  if (request->in_flight == 0) Retry(*request, outcome, scope);
}

void RequestRouter::Retry(Request& request, const tulipyoke::AttemptEnded& outcome, EventScope& scope) {
  const bool too_late = scope.now >= retry_policy_.LatestSendTime(request);
  if (outcome.status == Status::kNotSent || too_late) return RejectOrFail(request, scope);
  if (!retry_policy_.MayAttempt(request, scope.now)) return RejectOrFail(request, scope);
  if (!retry_policy_.TryTakeRetry(outcome.status)) return RejectOrFail(request, scope);
  const bool too_stale_or_wrong_role = outcome.status == Status::kStaleOrWrongRole;
  if (!endpoints::NeedsPrimary(context_.ClassOf(request.class_index))) {
    if (too_stale_or_wrong_role && ++request.stale_rejections >= kMaxReplicasTried)
      return RouteToPrimaryHeadroom(request, scope);
    if (!too_stale_or_wrong_role) request.failed_servers.push_back(outcome.server);
  }
  Route(request, scope);
}

void RequestRouter::RejectOrFail(Request& request, EventScope& scope) {
  const RequestId id = request.id;
  if (retry_policy_.MayReject(request)) {
    const Settings& settings = context_.settings;
    scope.actions.emplace_back(Reject{id, settings.retry_after ? settings.max_retry_after : 0});
  } else {
    scope.actions.emplace_back(Fail{id});
  }
  if (request.in_flight > 0) CancelAttempts(id, scope);
  requests_.erase(id);
}

void RequestRouter::CancelAttempts(RequestId id, EventScope& scope) {
  if (!context_.settings.cancel_allowed) return;
  for (auto& [server_id, server] : table_.servers()) {
    for (estimates::InFlightAttempt& attempt : server.in_flight) {
      if (attempt.id != id || attempt.cancelled) continue;
      attempt.cancelled = true;
      scope.actions.emplace_back(tulipyoke::Cancel{id, attempt.attempt});
    }
  }
}

void RequestRouter::TimeOut(RequestId id, EventScope& scope) {
  if (Request* request = Find(id)) RejectOrFail(*request, scope);
}

void RequestRouter::Cancel(RequestId id, EventScope& scope) {
  const Request* request = Find(id);
  if (!request) return;
  const bool idempotent = context_.ClassOf(request->class_index).idempotency == Idempotency::kIdempotent;
  if (request->in_flight > 0 && idempotent) CancelAttempts(id, scope);
  requests_.erase(id);
}

void RequestRouter::RouteParked(int group, EventScope& scope) {
  const std::vector<RequestId> waiting = parked_.TakeNewestFirst(group);
  if (waiting.empty()) return;
  for (const RequestId id : waiting) {
    Request* request = Find(id);
    if (!request || !request->parked) continue;
    request->parked = false;
    Route(*request, scope);
  }
  parked_.RestoreArrivalOrder(group);
}

void RequestRouter::RouteAllParked(EventScope& scope) {
  for (const auto& [number, group] : table_.groups()) RouteParked(number, scope);
}

}  // namespace tulipyoke::policy
