#include "src/policy/replica_selector.hpp"

#include <algorithm>

#include "src/estimates/decay.hpp"
#include "src/policy/retry_scope.hpp"

namespace tulipyoke::policy {

using endpoints::Group;
using endpoints::Server;

namespace {

// A read that needs no position may use a replica that is too stale for other reads if its expected time is
// within this share of the latency objective.
constexpr double kStaleReplicaObjectiveShare = 0.5;
// Added to a server's expected time for a new connection and for another zone, as shares of the usual time.
constexpr double kLocalityPenaltyShare = 0.3;
// A connection is likely to be still open while the decayed weight of the server's last response exceeds
// this.
constexpr double kOpenConnectionWeight = 0.4;
// Upper limit of the failure share, which keeps the expected number of attempts finite.
constexpr double kMaxFailureShare = 0.95;

}  // namespace

Micros ReplicaSelector::NeededPosition(const Request& request, Micros now) const {
  const ClassSettings& c = context_.ClassOf(request.class_index);
  if (c.freshness == Freshness::kSession) return request.session_position;
  if (c.freshness == Freshness::kBounded) return context_.PositionAt(now) - c.staleness_bound;
  return estimates::kNoPosition;
}

bool ReplicaSelector::NeedsFreshnessCheck(const Server& server) const {
  return !server.position.known() && context_.settings.staleness_guard != StalenessGuard::kOff;
}

double ReplicaSelector::PredictedWait(const Server& server, Micros needed, Micros now) const {
  if (needed == estimates::kNoPosition || NeedsFreshnessCheck(server)) return 0;
  return server.position.PredictedWait(needed, now, context_.scales.longest_objective);
}

bool ReplicaSelector::IsFreshEnough(const Server& server, Micros needed, Micros now) const {
  if (needed == estimates::kNoPosition || server.position.value() >= needed) return true;
  const StalenessGuard guard = context_.settings.staleness_guard;
  if (guard == StalenessGuard::kOff) return false;
  const auto longest_wait = static_cast<double>(context_.settings.catch_up_wait);
  if (PredictedWait(server, needed, now) > longest_wait) return false;
  if (guard == StalenessGuard::kWait && !NeedsFreshnessCheck(server)) return true;
  return !server.in_flight.HasFreshnessCheck();
}

bool ReplicaSelector::Admits(Server& server, const Request& request, Micros now) {
  return server.open && ScopeAllows(context_.ClassOf(request.class_index), request, server) &&
         !server.ejection.InBackoff(now) && server.AdmitsTrial(context_.settings.health_checks_allowed) &&
         server.concurrency_limit.Admits(server.in_flight.size()) &&
         slow_start_.Admits(server, request.class_index, now);
}

bool ReplicaSelector::IsUsable(Server& server, const Request& read, Micros now) {
  const auto& failed = read.failed_servers;
  return std::find(failed.begin(), failed.end(), server.id) == failed.end() && Admits(server, read, now);
}

double ReplicaSelector::QueuedWork(const Server& server, int class_index, Micros now) const {
  const double expected = context_.latency.ExpectedLatency(server.latency_ratio, class_index, now);
  return server.queue.RemainingWork(now, context_.service_concurrency.value(), expected);
}

// The sum of this router's work in flight there, the read's own time multiplied by the expected number of
// attempts until one succeeds, and the wait for the position.
double ReplicaSelector::ExpectedLatency(const Server& server, const Request& read, Micros needed,
                                        Micros now) const {
  const double failure_share = std::min(server.FailureRate(now, context_.scales), kMaxFailureShare);
  const double attempts = 1 / (1 - failure_share);
  const double service_time =
      attempts * context_.latency.ExpectedLatency(server.latency_ratio, read.class_index, now);
  return context_.latency.RemainingWork(server.in_flight, server.latency_ratio, now) + service_time +
         PredictedWait(server, needed, now);
}

// With this penalty, one of hundreds of routers uses only a few servers and has better estimates of them.
double ReplicaSelector::LocalityPenalty(const Server& server, int class_index, Micros now) const {
  const Settings& settings = context_.settings;
  const bool responded = server.last_response != endpoints::kNever;
  const bool connected =
      responded &&
      estimates::DecayFactor(now - server.last_response, context_.scales.decay_time) > kOpenConnectionWeight;
  const bool other_zone = settings.cross_zone_cost > 0 && server.zone != settings.zone;
  return kLocalityPenaltyShare * context_.latency.TypicalLatency(class_index) *
         ((connected ? 0 : 1) + (other_zone ? 1 : 0));
}

bool ReplicaSelector::IsStaleButFast(const Server& server, const Request& read, double expected_time) const {
  const Micros lag = server.position.ObservedLag(context_.settings.position_epoch);
  const auto objective = static_cast<double>(context_.ClassOf(read.class_index).latency_objective);
  return lag > context_.scales.tightest_staleness_bound &&
         expected_time <= kStaleReplicaObjectiveShare * objective;
}

void ReplicaSelector::UpdateBest(Candidate& best, Server& server, double score) {
  if (best.server && score == best.score) {
    if (context_.random.OneIn(++best.ties)) best.server = &server;
  } else if (!best.server || score < best.score) {
    best = {&server, score, 1};
  }
}

// Fresh replicas are scarce while others lag, and a long query can delay replication on the server that runs
// it. So a read that needs no position goes to the stalest replica that other reads cannot use, as long as
// that is fast enough. This helps with blocking queries, slow replication and old copies; it hurts if the
// stalest replica is also the busiest.
Server* ReplicaSelector::ChooseReplica(const Request& read, Micros latest_send_time, Micros now) {
  const Group& group = table_.GroupAt(read.group);
  const Micros needed = NeededPosition(read, now);
  const Micros epoch = context_.settings.position_epoch;
  const auto time_left = static_cast<double>(latest_send_time - now);
  Candidate best;
  Server* stalest = nullptr;
  for (const ServerId id : group.members) {
    Server& server = table_.At(id);
    if ((group.has_primary && group.primary == id) || !IsUsable(server, read, now)) continue;
    const bool needs_position = needed != estimates::kNoPosition;
    if (needs_position && !server.position.known() && !IsFreshEnough(server, needed, now)) continue;
    // Skips a server whose queue leaves no time for the read: hung or overloaded, it would not respond in
    // time.
    const double queued = QueuedWork(server, read.class_index, now);
    if (queued > 0 && queued > time_left) continue;
    const double expected_time = ExpectedLatency(server, read, needed, now) + queued;
    const bool staler = !stalest || server.position.ObservedLag(epoch) > stalest->position.ObservedLag(epoch);
    if (!needs_position && staler && IsStaleButFast(server, read, expected_time)) stalest = &server;
    UpdateBest(best, server, expected_time + LocalityPenalty(server, read.class_index, now));
  }
  return stalest ? stalest : best.server;
}

Server* ReplicaSelector::ChoosePrimary(const Request& request, Micros now) {
  const Group& group = table_.GroupAt(request.group);
  Server* primary = group.has_primary ? table_.Find(group.primary) : nullptr;
  return primary && Admits(*primary, request, now) ? primary : nullptr;
}

// Considers the members whose role was not observed within the last latency objective, and picks the one
// whose role observation is oldest.
Server* ReplicaSelector::ChooseLikelyPrimary(const Request& write, Micros now) {
  Server* candidate = nullptr;
  int ties = 0;
  for (const ServerId id : table_.GroupAt(write.group).members) {
    Server& server = table_.At(id);
    const bool recently_observed =
        server.role_time != endpoints::kNever && now - server.role_time < context_.scales.longest_objective;
    if (recently_observed || !Admits(server, write, now)) continue;
    if (candidate && server.role_time > candidate->role_time) continue;
    ties = candidate && server.role_time == candidate->role_time ? ties + 1 : 1;
    if (context_.random.OneIn(ties)) candidate = &server;
  }
  return candidate;
}

bool ReplicaSelector::NoReplicaLeft(const Request& read) const {
  const Group& group = table_.GroupAt(read.group);
  const ClassSettings& c = context_.ClassOf(read.class_index);
  return std::none_of(group.members.begin(), group.members.end(), [&](ServerId id) {
    const Server& server = table_.At(id);
    const bool is_primary = group.has_primary && group.primary == id;
    return server.open && !server.ejection.ejected() && !is_primary && ScopeAllows(c, read, server);
  });
}

}  // namespace tulipyoke::policy
