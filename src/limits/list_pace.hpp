// When a watch on the list of servers counts as lost, and when a router that has lost it asks for it again.
//
// Whatever discovery has for a router counts as told 6 s after the watch fell silent, and where changes are
// pushed what the router's agent holds counts at once, whether or not a watch is open. So a silent watch is
// given up with time left to open it anew, and the time without one comes off the grace of a drain.
//
// Where the list must be asked for, one service answers all routers, in turn, and a call that waits too long
// fails. Routers lose their watches together, and if all come back at once, and again at each step of the
// same back-off, the service is full of calls that it fails, and nobody hears anything for the rest of the
// day. So the tries of all routers together keep to a rate, spread in time by each one's own seed. Elsewhere
// an agent on the router's own machine answers at once and at no cost, or not at all while discovery is down:
// it is asked again in a small part of the grace, without growing further apart.
#ifndef TULIPYOKE_SRC_LIMITS_LIST_PACE_HPP_
#define TULIPYOKE_SRC_LIMITS_LIST_PACE_HPP_

#include <cstdint>
#include <random>

#include "tulipyoke/router.hpp"

namespace tulipyoke::limits {

class ListPace {
 public:
  // An empty line comes every 2 s: two are missing, and a quarter of one more has passed on the way.
  static constexpr Micros kBeat = 2'000'000;
  static constexpr Micros kSilentAfter = 2 * kBeat + kBeat / 4;

  ListPace(const Settings& settings, std::uint64_t seed);

  // A watch whose answer has not begun so long after it was asked for is lost.
  Micros AnsweredWithin() const { return answered_within_; }
  // How long to wait before the next try; longer each time, until something was heard.
  Micros AfterFailure();
  void Heard() { failures_ = 0; }
  int failures() const { return failures_; }

 private:
  Micros first_ = 0, answered_within_ = kSilentAfter;
  Micros spread_ = 0, most_ = 0;  // over what the first try after a failure is spread, and any
  int most_doublings_ = 0;
  int failures_ = 0;
  std::mt19937_64 random_;
};

}  // namespace tulipyoke::limits

#endif  // TULIPYOKE_SRC_LIMITS_LIST_PACE_HPP_
