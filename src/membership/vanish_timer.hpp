// Times the removal of a vanished server: it stays listed as draining for the removal delay, is then removed
// from the list, and expires after the retention.
#ifndef TULIPYOKE_SRC_MEMBERSHIP_VANISH_TIMER_HPP_
#define TULIPYOKE_SRC_MEMBERSHIP_VANISH_TIMER_HPP_

#include <optional>

#include "tulipyoke/router.hpp"

namespace tulipyoke::membership {

struct VanishOptions {
  // How long a vanished server stays listed as draining, so that its requests can finish and its state is
  // still there if it returns early. At least the longest deadline and the drain timeout.
  Micros removal_delay = 10'000'000;
  // How long a server that no source announces is stored after that, with its drains and its flap history.
  Micros retention = 120'000'000;
};

// Runs while one server has vanished. Times are in microseconds.
class VanishTimer {
 public:
  // Starts the timer if the server has vanished and the timer is not running; stops it if not.
  void Update(bool vanished, Micros now);
  // Returns true if the timer is not running or the removal delay has not elapsed.
  bool IsListed(const VanishOptions& options, Micros now) const;
  // Returns true if the timer is running and both the removal delay and the retention have elapsed.
  bool IsExpired(const VanishOptions& options, Micros now) const;
  // Returns when IsListed or, after the removal, IsExpired changes; nothing if the timer is not running.
  std::optional<Micros> NextChange(const VanishOptions& options, Micros now) const;

 private:
  std::optional<Micros> vanished_at_;
};

}  // namespace tulipyoke::membership

#endif  // TULIPYOKE_SRC_MEMBERSHIP_VANISH_TIMER_HPP_
