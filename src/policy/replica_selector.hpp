// Chooses the server for a request.
#ifndef TULIPYOKE_SRC_POLICY_REPLICA_SELECTOR_HPP_
#define TULIPYOKE_SRC_POLICY_REPLICA_SELECTOR_HPP_

#include "src/endpoints/endpoint_table.hpp"
#include "src/endpoints/routing_context.hpp"
#include "src/policy/slow_start.hpp"
#include "src/requests/request.hpp"

namespace tulipyoke::policy {

using requests::Request;

class ReplicaSelector {
 public:
  ReplicaSelector(endpoints::RoutingContext& context, endpoints::EndpointTable& table, SlowStart& slow_start)
      : context_(context), table_(table), slow_start_(slow_start) {}

  // The replica with the lowest expected time; null where none may be sent the read. `last_useful`: when the
  // read must have been sent.
  endpoints::Server* ChooseReplica(const Request& read, Micros last_useful, Micros now);
  // The group's primary, where it may be sent the request.
  endpoints::Server* ChoosePrimary(const Request& request, Micros now);
  // A member that may be the primary of a group of which none is known, for a write: a replica turns it away
  // without running it and tells its role.
  endpoints::Server* GuessPrimary(const Request& write, Micros now);
  // Whether the server may be sent the read as far as health, capacity and earlier failures go.
  bool IsUsable(endpoints::Server& server, const Request& read, Micros now);
  // Whether no replica is left that could serve the group, not even later.
  bool NoReplicaLeft(int group) const;

  // The position that the request needs now.
  Micros NeededPosition(const Request& request, Micros now) const;
  // Whether a read that needs the position may be sent now. Where the server itself checks positions, the
  // prediction is enough; one read at a time goes ahead of what was shown.
  bool IsFreshEnough(const endpoints::Server& server, Micros needed, Micros now) const;
  // The time until the server is expected to have the position, in microseconds.
  double PredictedWait(const endpoints::Server& server, Micros needed, Micros now) const;
  // What is left of the queue of other routers' requests that was reported, in microseconds.
  double QueuedWork(const endpoints::Server& server, int class_index, Micros now) const;

 private:
  struct Candidate {
    endpoints::Server* server = nullptr;
    double score = 0;
    int ties = 0;
  };
  bool Admits(endpoints::Server& server, const Request& request, Micros now);
  // May serve as its own freshness check: the server checks positions, and none of its own is known.
  bool IsUnobserved(const endpoints::Server& server) const;
  // Without the queue of others.
  double ExpectedOwnTime(const endpoints::Server& server, const Request& read, Micros needed,
                         Micros now) const;
  double DistanceCost(const endpoints::Server& server, int class_index, Micros now) const;
  // Whether the replica is too stale for the reads of some class, and quick enough for this one.
  bool IsStaleButQuick(const endpoints::Server& server, const Request& read, double expected_time) const;
  void Consider(Candidate& best, endpoints::Server& server, double score);

  endpoints::RoutingContext& context_;
  endpoints::EndpointTable& table_;
  SlowStart& slow_start_;
};

}  // namespace tulipyoke::policy

#endif  // TULIPYOKE_SRC_POLICY_REPLICA_SELECTOR_HPP_
