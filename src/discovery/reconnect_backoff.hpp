// When a watch on the registry counts as lost, and how long a router waits before it opens a new one. No I/O.
//
// A router is held to know what the registry has had for it 6 s after its watch fell silent. Where an agent
// on the router's machine pushes changes, it is held to know what the agent has at once, whether or not a
// watch is open. So a silent watch is given up early enough to open another one, and the time without a watch
// counts against the drain timeout.
//
// Where the list must be polled, one service answers all routers one after the other, and a call that waits
// too long fails. Routers lose their watches together; if all of them retry at the same moments, the service
// spends its time on calls that it fails. So the retries of all routers together keep to a rate: each
// router's are spread at random, by a seed of its own. An agent, on the other hand, answers at once and at no
// cost, or not at all while it is down: it is retried at a constant interval, a small part of the drain
// timeout.
#ifndef TULIPYOKE_SRC_DISCOVERY_RECONNECT_BACKOFF_HPP_
#define TULIPYOKE_SRC_DISCOVERY_RECONNECT_BACKOFF_HPP_

#include <cstdint>
#include <random>

#include "tulipyoke/router.hpp"

namespace tulipyoke::discovery {

// Times are microseconds. Not thread-safe.
class ReconnectBackoff {
 public:
  // The registry sends an empty line at this interval.
  static constexpr Micros kHeartbeatInterval = 2'000'000;
  // A watch without one for so long is lost: two are missing, and a quarter of an interval is for the
  // network.
  static constexpr Micros kHeartbeatTimeout = 2 * kHeartbeatInterval + kHeartbeatInterval / 4;

  // `seed`: of the random spread; another one for each router.
  ReconnectBackoff(const Settings& settings, std::uint64_t seed);

  // From the request to the head of the response.
  Micros response_timeout() const { return response_timeout_; }
  // The delay before the next attempt; it grows with each call until Reset().
  Micros NextDelay();
  // Something was received.
  void Reset() { failures_ = 0; }
  // Calls of NextDelay() since the last Reset().
  int failures() const { return failures_; }

 private:
  Micros initial_delay_ = 0;
  Micros response_timeout_ = kHeartbeatTimeout;
  Micros initial_spread_ = 0;  // added at random to the first delay; grows with the delay
  Micros max_spread_ = 0;
  int max_doublings_ = 0;
  int failures_ = 0;
  std::mt19937_64 random_;
};

}  // namespace tulipyoke::discovery

#endif  // TULIPYOKE_SRC_DISCOVERY_RECONNECT_BACKOFF_HPP_
