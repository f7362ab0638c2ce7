// Defines when a watch on the registry counts as lost and how long a router waits before it opens a new one.
// Does no I/O.
//
// A router is expected to know the state of the registry 6 s after its watch became silent. If an agent on
// the router's machine pushes changes, the router is expected to know the agent's state immediately, even
// while no watch is open. A silent watch is therefore closed early enough to open another one, and the time
// without a watch counts against the drain timeout.
//
// If the list must be polled, one service answers all routers one after another, and a call that waits too
// long fails. Routers lose their watches at the same time. If all of them retried at the same moments, the
// service would spend its time on calls that fail. Each router therefore adds random jitter from its own
// seed, which limits the combined rate of retries. An agent, in contrast, either answers immediately and at
// no cost or is down and does not answer at all. It is retried at a constant interval, which is a small part
// of the drain timeout.
#ifndef TULIPYOKE_SRC_DISCOVERY_POLL_BACKOFF_HPP_
#define TULIPYOKE_SRC_DISCOVERY_POLL_BACKOFF_HPP_

#include <cstdint>
#include <random>

#include "tulipyoke/router.hpp"

namespace tulipyoke::discovery {

// Times are in microseconds. Not thread-safe.
class ReconnectBackoff {
 public:
  // The interval at which the registry sends an empty line as a heartbeat.
  static constexpr Micros kHeartbeatInterval = 2'000'000;
  // A watch that receives no heartbeat or update for this time is lost. This allows for two missed heartbeats
  // and a quarter of an interval of network delay.
  static constexpr Micros kHeartbeatTimeout = 2 * kHeartbeatInterval + kHeartbeatInterval / 4;

  // `seed` initializes the random jitter and must differ between routers.
  ReconnectBackoff(const Settings& settings, std::uint64_t seed);

  // The time limit from the start of a connection attempt to the end of the response headers.
  Micros response_timeout() const { return response_timeout_; }
  // Returns the delay before the next attempt and counts a failure. When the list is polled, the delay range
  // grows with each failure up to a limit.
  Micros NextDelay();
  // Resets the delay, for example after a heartbeat or an update was received.
  void Reset() { failures_ = 0; }
  // The number of calls to NextDelay() since the last Reset().
  int failures() const { return failures_; }

 private:
  Micros initial_delay_ = 0;
  Micros response_timeout_ = kHeartbeatTimeout;
  Micros initial_jitter_range_ = 0;  // upper limit of the jitter of the first delay; doubles with the delay
  Micros max_jitter_range_ = 0;
  int max_doublings_ = 0;
  int failures_ = 0;
  std::mt19937_64 random_engine_;
};

}  // namespace tulipyoke::discovery

#endif  // TULIPYOKE_SRC_DISCOVERY_POLL_BACKOFF_HPP_
