// The spare capacity of a group's primary, for reads that no replica can serve.
#ifndef TULIPYOKE_SRC_LIMITS_PRIMARY_HEADROOM_HPP_
#define TULIPYOKE_SRC_LIMITS_PRIMARY_HEADROOM_HPP_

#include "tulipyoke/router.hpp"

namespace tulipyoke::limits {

// An answer that is late for its class can be both, and one that says nothing of the load is neither.
struct PrimaryResponse {
  bool fast = false;
  bool slow = false;
};

// The share of the otherwise rejected reads that the primary is given.
class PrimaryHeadroom {
 public:
  // Where the primary has not answered of late, the initial share is divided among all routers.
  double Share(Micros now, Micros decay_time, int router_count) const;
  void Observe(Micros now, Micros decay_time, int router_count, const PrimaryResponse& response);

 private:
  double share_ = 0;
  Micros observed_at_ = 0;
};

}  // namespace tulipyoke::limits

#endif  // TULIPYOKE_SRC_LIMITS_PRIMARY_HEADROOM_HPP_
