// The limit of this router's attempts in flight at one server: cut at a sign of overload, raised by answers
// in time (additive increase, multiplicative decrease). There is none before the first cut.
#ifndef TULIPYOKE_SRC_LIMITS_CONCURRENCY_LIMIT_HPP_
#define TULIPYOKE_SRC_LIMITS_CONCURRENCY_LIMIT_HPP_

#include <algorithm>
#include <cstddef>

#include "tulipyoke/router.hpp"

namespace tulipyoke::limits {

class ConcurrencyLimit {
 public:
  bool Admits(std::size_t in_flight) const { return static_cast<double>(in_flight) < limit_; }
  // Notes a sign of overload at one of the attempts, besides which `others` are in flight. One cut is made in
  // each `interval`: all that were in flight together give the same sign.
  void Decrease(Micros now, std::size_t others, Micros interval) {
    if (now < next_cut_) return;
    limit_ = std::max(1.0, kDecreaseFactor * std::min(limit_, static_cast<double>(others + 1)));
    next_cut_ = now + interval;
  }
  // Notes an answer in time; as many as the limit raise it by one.
  void Increase() { limit_ += 1 / std::max(limit_, 1.0); }
  // The server has been restarted.
  void Reset() { limit_ = kNone; }

 private:
  static constexpr double kNone = 1e9;
  static constexpr double kDecreaseFactor = 0.8;

  double limit_ = kNone;
  Micros next_cut_ = 0;
};

}  // namespace tulipyoke::limits

#endif  // TULIPYOKE_SRC_LIMITS_CONCURRENCY_LIMIT_HPP_
