// Estimates the spare capacity of a group's primary for reads that no replica can serve.
#ifndef TULIPYOKE_SRC_LIMITS_PRIMARY_HEADROOM_HPP_
#define TULIPYOKE_SRC_LIMITS_PRIMARY_HEADROOM_HPP_

#include "tulipyoke/router.hpp"

namespace tulipyoke::limits {

// How a response compares with typical latencies. A response that is late for its class can be both fast
// and slow; one that gives no information about the load is neither.
struct PrimaryResponse {
  bool fast = false;
  bool slow = false;
};

// The share of the reads that would otherwise be rejected that may go to the primary.
class PrimaryHeadroom {
 public:
  // Without recent responses from the primary, the share decays to an initial value that is divided among
  // all routers.
  double Share(Micros now, Micros decay_time, int router_count) const;
  void Observe(Micros now, Micros decay_time, int router_count, const PrimaryResponse& response);

 private:
  double share_ = 0;
  Micros observed_at_ = 0;
};

}  // namespace tulipyoke::limits

#endif  // TULIPYOKE_SRC_LIMITS_PRIMARY_HEADROOM_HPP_
