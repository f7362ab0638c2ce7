// Limits what one router sends to a server that has just started. All routers together must stay below the
// load that overloads a server in slow start, and no router knows what the others send. Each router takes
// its part of the capacity of a warm server. A part of less than one request is granted with that
// probability, so that single requests from hundreds of routers do not add up.
//
// The capacity of a warm server is estimated in two ways, and the larger estimate applies:
// - From the throughput of warm servers for this router. This is accurate for a router with much traffic,
//   but close to zero for one with little traffic or without a warm server.
// - From the settings. The quotas of all tenants are what all servers together are expected to serve, so an
//   equal share of them is the minimum capacity of one server. All routers divide it equally.
// The sum of both stays below the overload limit: the traffic adds up to two thirds of overload_multiple
// (3) and the quotas, which are below the capacity, up to one third. Each router uses only the larger one.
#ifndef TULIPYOKE_SRC_LIMITS_SLOW_START_BUDGET_HPP_
#define TULIPYOKE_SRC_LIMITS_SLOW_START_BUDGET_HPP_

#include <cstddef>
#include <deque>

#include "tulipyoke/router.hpp"

namespace tulipyoke::limits {

// The share of its capacity that a server which started at `started` has at `now` according to the
// settings; 1 if the start is unknown (negative).
double CapacityShare(const Settings& settings, Micros started, Micros now);

// The requests per microsecond from all routers that each of `servers` servers is expected to serve,
// according to the tenants' quotas; 0 if no quota is set.
double QuotaRatePerServer(const Settings& settings, std::size_t servers);

// The slow start budget for one server.
class SlowStartBudget {
 public:
  struct Server {
    double capacity_share = 1;   // current share of its full capacity
    double warm_throughput = 0;  // work per microsecond that a warm server finishes for this router
    double quota_rate = 0;       // requests per microsecond from all routers, by the quotas
  };
  // Returns whether one more request of this cost (in microseconds of work) may be sent. `draw` returns a
  // random number in [0, 1) and is called once per window.
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

  std::deque<SentRequest> sent_;  // within the last overload window
  Micros next_draw_ = 0;
  double draw_ = 0;
};

}  // namespace tulipyoke::limits

#endif  // TULIPYOKE_SRC_LIMITS_SLOW_START_BUDGET_HPP_
