#include "src/policy/replica_selector.hpp"

#include <algorithm>

#include "src/estimates/decay.hpp"

namespace tulipyoke::policy {

using endpoints::Group;
using endpoints::Server;

namespace {

// A read that needs no position is served by a replica too stale for others within this share of its
// objective.
constexpr double kStaleObjectiveShare = 0.5;
// What a new connection and another zone add to a server's time, as shares of the usual time.
constexpr double kDistanceShare = 0.3;
// A connection is likely to be open while so much of the last answer's weight is left.
constexpr double kConnectedWeight = 0.4;
// The largest share of failing attempts that is reckoned with.
constexpr double kMostFailing = 0.95;

}  // namespace

Micros ReplicaSelector::NeededPosition(const Request& request, Micros now) const {
  const ClassSettings& c = context_.ClassOf(request.class_index);
  if (c.freshness == Freshness::kSession) return request.session_position;
  if (c.freshness == Freshness::kBounded) return context_.PositionAt(now) - c.staleness_bound;
  return estimates::kNoPosition;
}

bool ReplicaSelector::IsUnobserved(const Server& server) const {
  return !server.position.known() && context_.settings.staleness_guard != StalenessGuard::kOff;
}

double ReplicaSelector::PredictedWait(const Server& server, Micros needed, Micros now) const {
  if (needed == estimates::kNoPosition || IsUnobserved(server)) return 0;
  return server.position.PredictedWait(needed, now, context_.scales.longest_objective);
}

bool ReplicaSelector::IsFreshEnough(const Server& server, Micros needed, Micros now) const {
  if (needed == estimates::kNoPosition || server.position.value() >= needed) return true;
  const StalenessGuard guard = context_.settings.staleness_guard;
  if (guard == StalenessGuard::kOff) return false;
  const auto longest_wait = static_cast<double>(context_.settings.catch_up_wait);
  if (PredictedWait(server, needed, now) > longest_wait) return false;
  if (guard == StalenessGuard::kWait && !IsUnobserved(server)) return true;
  return !server.in_flight.HasFreshnessCheck();
}

bool ReplicaSelector::Admits(Server& server, const Request& request, Micros now) {
  return server.open && !server.ejection.InBackoff(now) &&
         server.AdmitsTrial(context_.settings.health_checks_allowed) &&
         server.concurrency_limit.Admits(server.in_flight.size()) &&
         slow_start_.Admits(server, request.class_index, now);
}

bool ReplicaSelector::IsUsable(Server& server, const Request& read, Micros now) {
  const auto& failed = read.failed_at;
  return std::find(failed.begin(), failed.end(), server.id) == failed.end() && Admits(server, read, now);
}

double ReplicaSelector::QueuedWork(const Server& server, int class_index, Micros now) const {
  const double expected = context_.latency.ExpectedLatency(server.latency_ratio, class_index, now);
  return server.queue.RemainingWork(now, context_.service_concurrency.value(), expected);
}

// Own work in flight, the own time as often as it takes until an attempt succeeds, and the wait for the
// position.
double ReplicaSelector::ExpectedOwnTime(const Server& server, const Request& read, Micros needed,
                                        Micros now) const {
  const double failing = std::min(server.FailureRate(now, context_.scales), kMostFailing);
  const double attempts = 1 / (1 - failing);
  const double own = attempts * context_.latency.ExpectedLatency(server.latency_ratio, read.class_index, now);
  return context_.latency.RemainingWork(server.in_flight, server.latency_ratio, now) + own +
         PredictedWait(server, needed, now);
}

// A router of hundreds so keeps to few servers, and knows these better.
double ReplicaSelector::DistanceCost(const Server& server, int class_index, Micros now) const {
  const Settings& settings = context_.settings;
  const bool answered = server.last_response != endpoints::kNever;
  const bool connected = answered && estimates::DecayFactor(now - server.last_response,
                                                            context_.scales.decay_time) > kConnectedWeight;
  const bool far = settings.cross_zone_cost > 0 && server.zone != settings.zone;
  return kDistanceShare * context_.latency.TypicalLatency(class_index) *
         ((connected ? 0 : 1) + (far ? 1 : 0));
}

bool ReplicaSelector::IsStaleButQuick(const Server& server, const Request& read, double expected_time) const {
  const Micros lag = server.position.ObservedLag(context_.settings.position_epoch);
  const auto objective = static_cast<double>(context_.ClassOf(read.class_index).latency_objective);
  return lag > context_.scales.tightest_staleness_bound && expected_time <= kStaleObjectiveShare * objective;
}

void ReplicaSelector::Consider(Candidate& best, Server& server, double score) {
  if (best.server && score == best.score) {
    if (context_.random.OneIn(++best.ties)) best.server = &server;
  } else if (!best.server || score < best.score) {
    best = {&server, score, 1};
  }
}

// Fresh replicas are scarce once some lag, and a long read may hold up the applying where it runs. So a read
// that needs no position goes where no other read could, while that is quick enough. That helps against
// blocking queries, slow applying and old copies; it hurts where the stalest replica is the busiest.
Server* ReplicaSelector::ChooseReplica(const Request& read, Micros last_useful, Micros now) {
  const Group& group = table_.GroupAt(read.group);
  const Micros needed = NeededPosition(read, now);
  const Micros epoch = context_.settings.position_epoch;
  const auto time_left = static_cast<double>(last_useful - now);
  Candidate best;
  Server* stalest = nullptr;
  for (const ServerId id : group.members) {
    Server& server = table_.At(id);
    if ((group.has_primary && group.primary == id) || !IsUsable(server, read, now)) continue;
    const bool needs_position = needed != estimates::kNoPosition;
    if (needs_position && !server.position.known() && !IsFreshEnough(server, needed, now)) continue;
    // A queue that leaves no time: whether the server hangs or is overloaded, it does not answer in time.
    const double queued = QueuedWork(server, read.class_index, now);
    if (queued > 0 && queued > time_left) continue;
    const double expected_time = ExpectedOwnTime(server, read, needed, now) + queued;
    const bool staler = !stalest || server.position.ObservedLag(epoch) > stalest->position.ObservedLag(epoch);
    if (!needs_position && staler && IsStaleButQuick(server, read, expected_time)) stalest = &server;
    Consider(best, server, expected_time + DistanceCost(server, read.class_index, now));
  }
  return stalest ? stalest : best.server;
}

Server* ReplicaSelector::ChoosePrimary(const Request& request, Micros now) {
  const Group& group = table_.GroupAt(request.group);
  Server* primary = group.has_primary ? table_.Find(group.primary) : nullptr;
  return primary && Admits(*primary, request, now) ? primary : nullptr;
}

// Tried are members whose role was not seen for a latency objective, the one unseen for the longest first.
Server* ReplicaSelector::GuessPrimary(const Request& write, Micros now) {
  Server* guess = nullptr;
  int ties = 0;
  for (const ServerId id : table_.GroupAt(write.group).members) {
    Server& server = table_.At(id);
    const bool seen =
        server.role_time != endpoints::kNever && now - server.role_time < context_.scales.longest_objective;
    if (seen || !Admits(server, write, now)) continue;
    if (guess && server.role_time > guess->role_time) continue;
    ties = guess && server.role_time == guess->role_time ? ties + 1 : 1;
    if (context_.random.OneIn(ties)) guess = &server;
  }
  return guess;
}

bool ReplicaSelector::NoReplicaLeft(int group_number) const {
  const Group& group = table_.GroupAt(group_number);
  return std::none_of(group.members.begin(), group.members.end(), [&](ServerId id) {
    const Server& server = table_.At(id);
    const bool is_primary = group.has_primary && group.primary == id;
    return server.open && !server.ejection.ejected() && !is_primary;
  });
}

}  // namespace tulipyoke::policy
