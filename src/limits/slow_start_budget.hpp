// What one router may send to a server that has just started. All routers together must stay under the limit
// at which a server that is warming up is overloaded, and none knows of the others. Each takes its part of
// what a warm server bears, and a part of less than one request is drawn by lot, so that one request each
// from hundreds of routers does not add up.
//
// What a warm server bears is known in two ways, and the larger one holds:
// - By what warm servers finish for this router. That is right where it sees much, but next to nothing where
//   it sees little or where no warm server is left.
// - By the settings. The quotas of all tenants are what all servers are meant to bear, so that an even part
// of
//   them is the least that one server bears; all routers share that evenly.
// Both together stay under the limit: two thirds of overload_multiple (3) by the traffic and one by the
// quotas, which are under the capacity; and each router takes only the larger one.
#ifndef TULIPYOKE_SRC_LIMITS_SLOW_START_BUDGET_HPP_
#define TULIPYOKE_SRC_LIMITS_SLOW_START_BUDGET_HPP_

#include <cstddef>
#include <deque>

#include "tulipyoke/router.hpp"

namespace tulipyoke::limits {

// The share of its capacity that a server has which started at `started`, as far as the settings promise; 1
// where the start is unknown (negative).
double CapacityShare(const Settings& settings, Micros started, Micros now);

// Requests per microsecond that one of so many servers is meant to bear from all routers; 0 where no quota is
// set.
double QuotaRatePerServer(const Settings& settings, std::size_t servers);

// The budget for one server.
class SlowStartBudget {
 public:
  struct Server {
    double capacity_share = 1;   // what it has of its capacity
    double warm_throughput = 0;  // work per microsecond that a warm one finishes for this router
    double quota_rate = 0;       // requests per microsecond that a warm one is meant to bear from all routers
  };
  // Whether one more request of that cost (microseconds of work) may be sent. `draw` gives a number in [0, 1)
  // and is called once in each window.
  template <typename Draw>
  bool Admits(const Settings& settings, Micros now, double cost, const Server& server, const Draw& draw) {
    if (now >= next_draw_) {
      draw_ = draw();
      next_draw_ = now + settings.overload_window;
    }
    return IsWithinBudget(settings, now, cost, server);
  }
  void Spend(Micros now, double cost) { sent_.push_back({now, cost}); }

 private:
  struct SentRequest {
    Micros when = 0;
    double cost = 0;
  };
  bool IsWithinBudget(const Settings& settings, Micros now, double cost, const Server& server);

  std::deque<SentRequest> sent_;  // within the last window
  Micros next_draw_ = 0;
  double draw_ = 0;
};

}  // namespace tulipyoke::limits

#endif  // TULIPYOKE_SRC_LIMITS_SLOW_START_BUDGET_HPP_
