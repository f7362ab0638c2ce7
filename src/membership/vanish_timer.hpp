// What follows when a server vanishes: it stays listed as draining for a while, is then removed from the
// list, and is forgotten later still.
#ifndef TULIPYOKE_SRC_MEMBERSHIP_VANISH_TIMER_HPP_
#define TULIPYOKE_SRC_MEMBERSHIP_VANISH_TIMER_HPP_

#include <optional>

#include "tulipyoke/router.hpp"

namespace tulipyoke::membership {

struct VanishOptions {
  // How long a vanished server stays listed as draining, so that its requests can finish and an early return
  // finds its state unchanged. At least the longest deadline and the drain timeout.
  Micros removal_delay = 10'000'000;
  // How long after that a server which no source announces is remembered, with its drains and its flapping.
  Micros retention = 120'000'000;
};

// The time since which one server has been drained for having vanished. Times are microseconds.
class VanishTimer {
 public:
  // Starts the timer if the server has vanished and it does not run yet; stops it if the server has not.
  void Update(bool vanished, Micros now);
  // True if the timer does not run or the removal delay is not over.
  bool IsListed(const VanishOptions& options, Micros now) const;
  // True if the timer runs and the retention is over too.
  bool IsExpired(const VanishOptions& options, Micros now) const;
  // When IsListed or IsExpired changes next; none if the timer does not run.
  std::optional<Micros> NextChange(const VanishOptions& options, Micros now) const;

 private:
  std::optional<Micros> vanished_at_;
};

}  // namespace tulipyoke::membership

#endif  // TULIPYOKE_SRC_MEMBERSHIP_VANISH_TIMER_HPP_
