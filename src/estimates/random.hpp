// The pseudo-random number generator of a Router (SplitMix64). The same seed gives the same decisions.
#ifndef TULIPYOKE_SRC_ESTIMATES_RANDOM_HPP_
#define TULIPYOKE_SRC_ESTIMATES_RANDOM_HPP_

#include <cstdint>

namespace tulipyoke::estimates {

class Random {
 public:
  explicit Random(std::uint64_t seed) : state_(seed) {}

  std::uint64_t Next() {
    state_ += 0x9e3779b97f4a7c15;
    std::uint64_t z = state_;
    z = (z ^ (z >> 30)) * 0xbf58476d1ce4e5b9;
    z = (z ^ (z >> 27)) * 0x94d049bb133111eb;
    return z ^ (z >> 31);
  }
  // Returns a number that is uniform in [0, 1).
  double NextDouble() { return static_cast<double>(Next() >> 11) / kTwoTo53; }
  // Returns true with a probability of one in `count`.
  bool OneIn(int count) { return Next() % static_cast<std::uint64_t>(count) == 0; }

 private:
  static constexpr double kTwoTo53 = 9007199254740992.0;

  std::uint64_t state_;
};

}  // namespace tulipyoke::estimates

#endif  // TULIPYOKE_SRC_ESTIMATES_RANDOM_HPP_
