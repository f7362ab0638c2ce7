#include "src/policy/request_router.hpp"

#include <algorithm>
#include <cmath>

#include "src/endpoints/warm_rates.hpp"

namespace tulipyoke::policy {
namespace {

// The servers that one read asks for their queue, or that may turn it away as too stale: of three, one is
// sound on most bad days.
constexpr int kMostChecks = 3;
constexpr double kMicrosPerMilli = 1e3;
constexpr double kLongestSinceWrite = 1e15;

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
  // A group of which no server was ever listed is not kept: clients could fill the memory.
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
  Request& kept = requests_[event.id] = request;
  scope.actions.emplace_back(SetTimer{remaining, event.id});
  Route(kept, scope);
}

Micros RequestRouter::SessionPosition(const RequestArrived& event, Micros now) const {
  if (context_.ClassOf(event.class_index).freshness != Freshness::kSession) return estimates::kNoPosition;
  const Micros present = context_.PositionAt(now);
  if (context_.settings.token_mode != TokenMode::kCarried) {
    return sessions_known_ ? tokens_.Required(event.key, event.group) : present;
  }
  if (!(event.ms_since_write > 0)) return estimates::kNoPosition;
  // The float may have been rounded up: take the one below.
  const float below = std::nextafter(static_cast<float>(event.ms_since_write), 0.0F);
  const double since_write = std::min(static_cast<double>(below) * kMicrosPerMilli, kLongestSinceWrite);
  return present - static_cast<Micros>(since_write);
}

void RequestRouter::Route(Request& request, EventScope& scope) {
  const bool too_late = scope.now >= retry_policy_.LastUseful(request);
  if (too_late || !retry_policy_.MayAttempt(request, scope.now)) return GiveUp(request, scope);
  if (endpoints::NeedsPrimary(context_.ClassOf(request.class_index))) return RouteToPrimary(request, scope);
  RouteRead(request, scope);
}

void RequestRouter::RouteToPrimary(Request& request, EventScope& scope) {
  if (Server* primary = selector_.ChoosePrimary(request, scope.now)) return Send(request, *primary, scope);
  const Server* known = table_.Find(table_.GroupAt(request.group).primary);
  const bool sound = known && known->open && !known->ejection.InBackoff(scope.now) &&
                     known->AdmitsTrial(context_.settings.health_checks_allowed);
  // It only has no capacity yet, and nobody else can take the request.
  if (sound) return parked_.Park(request);
  const bool searching = SearchPrimary(request.group, scope);
  const bool write = context_.ClassOf(request.class_index).freshness == Freshness::kWrite;
  Server* guess = write && !searching ? selector_.GuessPrimary(request, scope.now) : nullptr;
  if (guess) return Send(request, *guess, scope);
  parked_.Park(request);
}

bool RequestRouter::SearchPrimary(int group, EventScope& scope) {
  bool searching = false;
  for (const ServerId id : table_.GroupAt(group).members) {
    Server& server = table_.At(id);
    checks_.Request(server, 2 * context_.scales.housekeeping_interval, scope);
    searching = searching || server.health_check.in_progress;
  }
  return searching;
}

void RequestRouter::RouteRead(Request& read, EventScope& scope) {
  if (admission_.Sheds(read, scope.now)) {
    const bool bounded = context_.ClassOf(read.class_index).freshness == Freshness::kBounded;
    if (bounded && !admission_.ReplicaWithinBound(read, scope.now)) return GiveUp(read, scope);
    return RouteToHeadroom(read, scope);
  }
  Server* replica = read.awaited_replica ? table_.Find(*read.awaited_replica) : nullptr;
  if (!replica || scope.now >= read.reselect_at || !selector_.IsUsable(*replica, read, scope.now)) {
    replica = selector_.ChooseReplica(read, retry_policy_.LastUseful(read), scope.now);
  }
  if (replica) return RouteToReplica(read, *replica, scope);
  const bool alone = selector_.NoReplicaLeft(read.group);
  Server* primary = alone ? selector_.ChoosePrimary(read, scope.now) : nullptr;
  if (primary) return Send(read, *primary, scope);
  WaitForAnyReplica(read, scope);
}

void RequestRouter::WaitForAnyReplica(Request& read, EventScope& scope) {
  read.failed_at.clear();
  for (const ServerId id : table_.GroupAt(read.group).members) {
    Server& server = table_.At(id);
    if (!server.position.known()) checks_.Request(server, context_.scales.housekeeping_interval, scope);
  }
  read.awaited_replica.reset();
  parked_.Park(read);
}

void RequestRouter::RouteToReplica(Request& read, Server& replica, EventScope& scope) {
  if (AwaitsQueueReport(read, replica, scope)) return;
  const Micros needed = selector_.NeededPosition(read, scope.now);
  if (selector_.IsFreshEnough(replica, needed, scope.now)) return Send(read, replica, scope);
  // Where no replica is predicted to have the position in time, the best one is asked all the same. When it
  // turns the read away, this may use the primary's headroom, never before. A session read does so too where
  // servers check nothing, once a replica has shown since its arrival that it is too far behind.
  const auto time_left = static_cast<double>(retry_policy_.LastUseful(read) - scope.now);
  if (selector_.PredictedWait(replica, needed, scope.now) > time_left) {
    const bool guarded = context_.settings.staleness_guard != StalenessGuard::kOff;
    const bool session = context_.ClassOf(read.class_index).freshness == Freshness::kSession;
    const bool shown_too_stale = session && replica.position.observed_at() > read.arrived;
    if (read.misses > 0 || (!guarded && shown_too_stale)) return RouteToHeadroom(read, scope);
    if (guarded && checks_.TryConsumeForRead()) return Send(read, replica, scope);
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

// A read that would else be rejected may use the spare capacity of the primary.
void RequestRouter::RouteToHeadroom(Request& read, EventScope& scope) {
  const bool granted = admission_.GrantsHeadroom(read, scope.now);
  Server* primary = granted ? selector_.ChoosePrimary(read, scope.now) : nullptr;
  if (primary && AwaitsQueueReport(read, *primary, scope)) return;
  const bool spare = primary && endpoints::IsWarm(context_, *primary, scope.now) &&
                     !(selector_.QueuedWork(*primary, read.class_index, scope.now) > 0);
  if (!spare) return GiveUp(read, scope);
  Send(read, *primary, scope);
}

// Where answers of the group were late, or the server had a queue when it last reported, it is asked for its
// queue before a read is sent there.
bool RequestRouter::AwaitsQueueReport(Request& read, Server& server, EventScope& scope) {
  const Server* asked = scope.now < read.queue_check_until ? table_.Find(read.queue_checked) : nullptr;
  if (!asked || !asked->health_check.in_progress) {
    const bool reports_queue =
        context_.report_reader.ReportsQueueLength() && context_.settings.health_checks_allowed;
    if (!reports_queue || read.queue_checks >= kMostChecks) return false;
    if (admission_.IsCalm(read.group, scope.now) && server.queue.length() < 1) return false;
    const double expected =
        context_.latency.ExpectedLatency(server.latency_ratio, read.class_index, scope.now);
    if (static_cast<double>(server.queue.Age(scope.now)) <= expected) return false;
    ++read.queue_checks;
    read.queue_checked = server.id;
    read.queue_check_until = scope.now + context_.scales.housekeeping_interval;
    checks_.Request(server, 0, scope);
  }
  parked_.Park(read);
  return true;
}

void RequestRouter::Send(Request& request, Server& server, EventScope& scope) {
  const Micros now = scope.now;
  const ClassSettings& c = context_.ClassOf(request.class_index);
  slow_start_.NoteSend(server, request.class_index, now);
  if (server.ejection.ejected()) server.ejection.StartBackoff(now, context_.scales, context_.random);
  const bool freshness_check = selector_.NeededPosition(request, now) > server.position.value();
  server.in_flight.Add({request.id, request.attempts, request.class_index, request.key, now,
                        /*cancelled=*/false, freshness_check});
  if (!request.may_have_run && request.in_flight == 0) request.first_may_have_run = now;
  ++request.attempts;
  ++request.in_flight;
  request.parked = false;
  request.awaited_replica.reset();
  const bool to_objective = c.idempotency == Idempotency::kIdempotent && c.late_weight <= 0;
  const Micros objective_end = std::min(request.deadline, request.arrived + c.latency_objective);
  const Micros end = to_objective ? objective_end : request.deadline;
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
  retry_policy_.NoteFailure(*request, outcome.status, sent);
  if (request->in_flight == 0) Retry(*request, outcome, scope);
}

void RequestRouter::Retry(Request& request, const tulipyoke::AttemptEnded& outcome, EventScope& scope) {
  const bool too_late = scope.now >= retry_policy_.LastUseful(request);
  if (outcome.status == Status::kNotSent || too_late) return GiveUp(request, scope);
  if (!retry_policy_.MayAttempt(request, scope.now)) return GiveUp(request, scope);
  if (!retry_policy_.TakeRetry(outcome.status)) return GiveUp(request, scope);
  const bool missed = outcome.status == Status::kStaleOrWrongRole;
  if (!endpoints::NeedsPrimary(context_.ClassOf(request.class_index))) {
    if (missed && ++request.misses >= kMostChecks) return RouteToHeadroom(request, scope);
    if (!missed) request.failed_at.push_back(outcome.server);
  }
  Route(request, scope);
}

void RequestRouter::GiveUp(Request& request, EventScope& scope) {
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
  if (Request* request = Find(id)) GiveUp(*request, scope);
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
  parked_.RestoreOrder(group);
}

void RequestRouter::RouteAllParked(EventScope& scope) {
  for (const auto& [number, group] : table_.groups()) RouteParked(number, scope);
}

}  // namespace tulipyoke::policy
