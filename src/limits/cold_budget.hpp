// What one router may send a server that has just started. All routers together must stay under the rule on
// cold servers, and none knows of the others: each gets its share of what a warm server bears, and a share of
// less than one request is drawn by lot, so that "one each" from hundreds of routers does not add up.
#ifndef TULIPYOKE_SRC_LIMITS_COLD_BUDGET_HPP_
#define TULIPYOKE_SRC_LIMITS_COLD_BUDGET_HPP_

#include <deque>
#include <utility>

#include "tulipyoke/router.hpp"

namespace tulipyoke::limits {

// The share of its capacity that a server has which started at `cold_since`, as far as the settings promise;
// 1 where that is unknown (negative).
double Warmth(const Settings& settings, Micros cold_since, Micros now);

class ColdBudget {
 public:
  // Whether one more request of that cost (microseconds of work) may go. `warm_rate` is what a warm server
  // finishes for this router, in work a microsecond; `chance` draws from [0, 1) once a window.
  template <typename Chance>
  bool Allows(const Settings& settings, Micros now, double cost, double warmth, double warm_rate,
              const Chance& chance) {
    if (now >= next_draw_) {
      draw_ = chance();
      next_draw_ = now + settings.fall;
    }
    return Fits(settings, now, cost, warmth, warm_rate);
  }
  void Sent(Micros now, double cost) { sent_.emplace_back(now, cost); }

 private:
  bool Fits(const Settings& settings, Micros now, double cost, double warmth, double warm_rate);

  std::deque<std::pair<Micros, double>> sent_;  // within the last window
  Micros next_draw_ = 0;
  double draw_ = 0;
};

}  // namespace tulipyoke::limits

#endif  // TULIPYOKE_SRC_LIMITS_COLD_BUDGET_HPP_
