// Limits the attempts of this router in flight at one server by additive increase and multiplicative
// decrease: responses in time raise the limit, signs of overload lower it. There is no limit before the
// first decrease.
#ifndef TULIPYOKE_SRC_LIMITS_CONCURRENCY_LIMIT_HPP_
#define TULIPYOKE_SRC_LIMITS_CONCURRENCY_LIMIT_HPP_

#include <algorithm>
#include <cstddef>

#include "tulipyoke/router.hpp"

namespace tulipyoke::limits {

class ConcurrencyLimit {
 public:
  bool Admits(std::size_t in_flight) const { return static_cast<double>(in_flight) < limit_; }
  // Handles a sign of overload from one attempt while `others` more are in flight. The limit decreases at
  // most once per `interval`, because attempts that were in flight together report the same overload.
  void Decrease(Micros now, std::size_t others, Micros interval) {
    if (now < next_cut_) return;
    limit_ = std::max(1.0, kDecreaseFactor * std::min(limit_, static_cast<double>(others + 1)));
    next_cut_ = now + interval;
  }
  // Handles a response in time. As many responses as the current limit raise the limit by one.
  void Increase() { limit_ += 1 / std::max(limit_, 1.0); }
  // Removes the limit after a restart of the server.
  void Reset() { limit_ = kUnlimited; }

 private:
  static constexpr double kUnlimited = 1e9;
  static constexpr double kDecreaseFactor = 0.8;

  double limit_ = kUnlimited;
  Micros next_cut_ = 0;
};

}  // namespace tulipyoke::limits

#endif  // TULIPYOKE_SRC_LIMITS_CONCURRENCY_LIMIT_HPP_
