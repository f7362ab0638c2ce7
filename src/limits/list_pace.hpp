// When a router that has lost its watch on the list of servers asks for it again.
//
// Where the list must be asked for, one service answers all routers, in turn, and a call that waits too long
// fails. Routers lose their watches together, and if all come back at once, and again at each step of the
// same back-off, the service is full of calls that it fails, and nobody hears anything for the rest of the
// day. So the tries of all routers together keep to a rate, spread in time by each one's own seed. Elsewhere
// an agent on the router's own machine answers at no cost, and the tries need no room.
#ifndef TULIPYOKE_SRC_LIMITS_LIST_PACE_HPP_
#define TULIPYOKE_SRC_LIMITS_LIST_PACE_HPP_

#include <cstdint>
#include <random>

#include "tulipyoke/router.hpp"

namespace tulipyoke::limits {

class ListPace {
 public:
  ListPace(const Settings& settings, std::uint64_t seed);

  // How long to wait before the next try; longer each time, until something was heard.
  Micros AfterFailure();
  void Heard() { failures_ = 0; }
  int failures() const { return failures_; }

 private:
  Micros spread_ = 0, most_ = 0;  // over what the first try after a failure is spread, and any
  int failures_ = 0;
  std::mt19937_64 random_;
};

}  // namespace tulipyoke::limits

#endif  // TULIPYOKE_SRC_LIMITS_LIST_PACE_HPP_
