// The event loop's clock: set to Unix time once, when the program starts, and moved by the monotonic clock
// alone from then on, so that a change of the system's time moves no deadline.
#ifndef TULIPYOKE_SRC_EVENT_LOOP_LOOP_CLOCK_HPP_
#define TULIPYOKE_SRC_EVENT_LOOP_LOOP_CLOCK_HPP_

#include <chrono>

#include "tulipyoke/router.hpp"

namespace tulipyoke::net {

// Used on the event loop's thread only.
class LoopClock {
 public:
  using Steady = std::chrono::steady_clock;

  LoopClock() : start_(Steady::now()), unix_start_(UnixNow()), now_(unix_start_) {}

  // From here on `Now` reads the time anew.
  void BeginIteration() { read_ = false; }
  // Microseconds of Unix time: read at the first call of an iteration, and the same until the next one.
  Micros Now() {
    if (!read_) {
      const auto elapsed = std::chrono::duration_cast<std::chrono::microseconds>(Steady::now() - start_);
      now_ = unix_start_ + elapsed.count();
      read_ = true;
    }
    return now_;
  }
  // A time of this clock as one that timers can wait for.
  Steady::time_point ToSteady(Micros when) const {
    return start_ + std::chrono::microseconds(when - unix_start_);
  }

 private:
  static Micros UnixNow() {
    const auto now = std::chrono::system_clock::now().time_since_epoch();
    return std::chrono::duration_cast<std::chrono::microseconds>(now).count();
  }

  Steady::time_point start_;
  Micros unix_start_;
  Micros now_;
  bool read_ = false;
};

}  // namespace tulipyoke::net

#endif  // TULIPYOKE_SRC_EVENT_LOOP_LOOP_CLOCK_HPP_
