// The event loop's clock. It reads Unix time once, when it is constructed, and then advances with the
// monotonic clock alone, so that a change of the system time does not shift any deadline.
#ifndef TULIPYOKE_SRC_EVENT_LOOP_LOOP_CLOCK_HPP_
#define TULIPYOKE_SRC_EVENT_LOOP_LOOP_CLOCK_HPP_

#include <chrono>

#include "tulipyoke/router.hpp"

namespace tulipyoke::net {

// Not thread-safe: used only on the event loop's thread.
class LoopClock {
 public:
  using Steady = std::chrono::steady_clock;

  LoopClock() : steady_start_(Steady::now()), unix_start_(UnixNow()), now_(unix_start_) {}

  // Discards the cached time: the next call of `Now` reads the monotonic clock again.
  void BeginIteration() { now_is_current_ = false; }
  // Unix time in microseconds. The first call in an iteration reads the clock; later calls return the same
  // value.
  Micros Now() {
    if (!now_is_current_) {
      const auto elapsed =
          std::chrono::duration_cast<std::chrono::microseconds>(Steady::now() - steady_start_);
      now_ = unix_start_ + elapsed.count();
      now_is_current_ = true;
    }
    return now_;
  }
  // Converts a time of this clock to the steady clock, which timers use.
  Steady::time_point ToSteady(Micros when) const {
    return steady_start_ + std::chrono::microseconds(when - unix_start_);
  }

 private:
  static Micros UnixNow() {
    const auto since_epoch = std::chrono::system_clock::now().time_since_epoch();
    return std::chrono::duration_cast<std::chrono::microseconds>(since_epoch).count();
  }

  Steady::time_point steady_start_;
  Micros unix_start_;
  Micros now_;
  bool now_is_current_ = false;
};

}  // namespace tulipyoke::net

#endif  // TULIPYOKE_SRC_EVENT_LOOP_LOOP_CLOCK_HPP_
