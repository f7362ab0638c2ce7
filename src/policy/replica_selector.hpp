// Selects the server for a request.
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

  // The replica with the lowest expected time, or null if none can be used; a read that needs no position
  // prefers a stale replica that is fast enough. The read must be sent by `latest_send_time`.
  endpoints::Server* ChooseReplica(const Request& read, Micros latest_send_time, Micros now);
  // The group's primary, or null if it cannot accept the request now.
  endpoints::Server* ChoosePrimary(const Request& request, Micros now);
  // For a write to a group without a known primary: a member that may be the primary, or null. A replica
  // rejects the write without executing it and reports its role.
  endpoints::Server* ChooseLikelyPrimary(const Request& write, Micros now);
  // Whether the read's retry scope, health, capacity and earlier failures allow sending it to the server.
  bool IsUsable(endpoints::Server& server, const Request& read, Micros now);
  // Whether the group has no open replica that is not ejected and that the request's retry scope allows.
  bool NoReplicaLeft(const Request& read) const;

  // The position that a server must have applied to serve the request now.
  Micros NeededPosition(const Request& request, Micros now) const;
  // Whether a read that needs the position may be sent to the server now. If servers check positions
  // themselves, a prediction suffices: with StalenessGuard::kReject, or while no position is known, for one
  // read at a time.
  bool IsFreshEnough(const endpoints::Server& server, Micros needed, Micros now) const;
  // The expected time until the server has applied the position, in microseconds.
  double PredictedWait(const endpoints::Server& server, Micros needed, Micros now) const;
  // The remaining work of the reported queue of other routers' requests, in microseconds.
  double QueuedWork(const endpoints::Server& server, int class_index, Micros now) const;

 private:
  struct Candidate {
    endpoints::Server* server = nullptr;
    double score = 0;
    int ties = 0;
  };
  bool Admits(endpoints::Server& server, const Request& request, Micros now);
  // Whether no position of the server is known and servers check positions, so that a read can serve as the
  // freshness check.
  bool NeedsFreshnessCheck(const endpoints::Server& server) const;
  // The expected time of the read, without the reported queue of other routers' requests.
  double ExpectedLatency(const endpoints::Server& server, const Request& read, Micros needed,
                         Micros now) const;
  double LocalityPenalty(const endpoints::Server& server, int class_index, Micros now) const;
  // Whether the replica's lag exceeds the tightest staleness bound while it is fast enough for this read.
  bool IsStaleButFast(const endpoints::Server& server, const Request& read, double expected_time) const;
  void UpdateBest(Candidate& best, endpoints::Server& server, double score);

  endpoints::RoutingContext& context_;
  endpoints::EndpointTable& table_;
  SlowStart& slow_start_;
};

}  // namespace tulipyoke::policy

#endif  // TULIPYOKE_SRC_POLICY_REPLICA_SELECTOR_HPP_
