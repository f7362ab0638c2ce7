// What one router may send a server that has just started. All routers together must stay under the rule on
// cold servers, and none knows of the others: each gets its share of what a warm server bears, and a share of
// less than one request is drawn by lot, so that "one each" from hundreds of routers does not add up.
//
// What a warm server bears is known in two ways, and the larger one holds. By what warm servers finish for
// this router: right where it sees much, but next to nothing where it sees little or all warm servers are
// gone. And by the settings: the tenants' quotas are what all servers are meant to bear, so that an even part
// of them is what one server bears at least; all routers share that evenly. Together both stay under the
// rule: two thirds of fall_multiple (3) by the traffic and one by the quotas, which are under the capacity,
// and each router takes only the larger one.
#ifndef TULIPYOKE_SRC_LIMITS_COLD_BUDGET_HPP_
#define TULIPYOKE_SRC_LIMITS_COLD_BUDGET_HPP_

#include <cstddef>
#include <deque>
#include <utility>

#include "tulipyoke/router.hpp"

namespace tulipyoke::limits {

// The share of its capacity that a server has which started at `cold_since`, as far as the settings promise;
// 1 where that is unknown (negative).
double Warmth(const Settings& settings, Micros cold_since, Micros now);

// Requests a microsecond that one of so many servers is meant to bear from all routers; 0 where no quota is
// set.
double EvenRate(const Settings& settings, std::size_t servers);

class ColdBudget {
 public:
  struct Server {
    double warmth = 1;     // the share of its capacity that it has
    double warm_rate = 0;  // what a warm one finishes for this router, in work a microsecond
    double even_rate = 0;  // what a warm one is meant to bear from all, in requests a microsecond
  };
  // Whether one more request of that cost (microseconds of work) may go; `chance` draws from [0, 1) once a
  // window.
  template <typename Chance>
  bool Allows(const Settings& settings, Micros now, double cost, const Server& server, const Chance& chance) {
    if (now >= next_draw_) {
      draw_ = chance();
      next_draw_ = now + settings.overload_window;
    }
    return Fits(settings, now, cost, server);
  }
  void Sent(Micros now, double cost) { sent_.emplace_back(now, cost); }

 private:
  bool Fits(const Settings& settings, Micros now, double cost, const Server& server);

  std::deque<std::pair<Micros, double>> sent_;  // within the last window
  Micros next_draw_ = 0;
  double draw_ = 0;
};

}  // namespace tulipyoke::limits

#endif  // TULIPYOKE_SRC_LIMITS_COLD_BUDGET_HPP_
