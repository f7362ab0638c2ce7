// The loop's clock: set to Unix time once, when the program starts, then moved by the monotonic clock alone.
#ifndef TULIPYOKE_SRC_NET_CLOCK_HPP_
#define TULIPYOKE_SRC_NET_CLOCK_HPP_

#include <chrono>

#include "tulipyoke/router.hpp"

namespace tulipyoke::net {

class LoopClock {
 public:
  using Steady = std::chrono::steady_clock;

  LoopClock()
      : start_(Steady::now()),
        anchor_(std::chrono::duration_cast<std::chrono::microseconds>(
                    std::chrono::system_clock::now().time_since_epoch())
                    .count()),
        now_(anchor_) {}

  // The time is read at the first question in a turn and holds until the next turn.
  void NewTurn() { read_ = false; }
  Micros Now() {
    if (!read_) {
      const auto since = std::chrono::duration_cast<std::chrono::microseconds>(Steady::now() - start_);
      now_ = anchor_ + since.count();
      read_ = true;
    }
    return now_;
  }
  Steady::time_point ToSteady(Micros when) const {
    return start_ + std::chrono::microseconds(when - anchor_);
  }

 private:
  Steady::time_point start_;
  Micros anchor_, now_;
  bool read_ = false;
};

}  // namespace tulipyoke::net

#endif  // TULIPYOKE_SRC_NET_CLOCK_HPP_
