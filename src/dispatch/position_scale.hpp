// Converts replication positions between Unix milliseconds, as servers and the peer process state them, and
// milliseconds after the configured origin, as the decision module counts them.
#ifndef TULIPYOKE_SRC_DISPATCH_POSITION_SCALE_HPP_
#define TULIPYOKE_SRC_DISPATCH_POSITION_SCALE_HPP_

#include <algorithm>
#include <cmath>
#include <cstdint>

#include "tulipyoke/router.hpp"

namespace tulipyoke {

// What a server has replayed is rounded down and what a session has committed is rounded up, so that no read
// is taken for newer than it is.
class PositionScale {
 public:
  explicit PositionScale(Micros origin) : origin_(origin) {}

  bool IsAfterOrigin(std::int64_t unix_ms) const { return MicrosAfterOrigin(unix_ms) > 0; }

  // Milliseconds after the origin; 0 for what lies before it.
  std::int64_t RoundDown(std::int64_t unix_ms) const {
    return std::max<Micros>(MicrosAfterOrigin(unix_ms), 0) / kMicrosPerMs;
  }
  std::int64_t RoundUp(std::int64_t unix_ms) const {
    return (std::max<Micros>(MicrosAfterOrigin(unix_ms), 0) + kMicrosPerMs - 1) / kMicrosPerMs;
  }

  // The position in a load report: seconds after the origin of a whole number of Unix milliseconds.
  double ToReportSeconds(double unix_ms) const {
    const double origin_ms = static_cast<double>(origin_) / kMicrosPerMs;
    return (std::floor(unix_ms) - origin_ms) / kMsPerSecond;
  }

  std::int64_t ToUnixMsRoundedDown(std::int64_t position_ms) const {
    return (position_ms * kMicrosPerMs + origin_) / kMicrosPerMs;
  }
  std::int64_t ToUnixMsRoundedUp(std::int64_t position_ms) const {
    return (position_ms * kMicrosPerMs + origin_ + kMicrosPerMs - 1) / kMicrosPerMs;
  }

 private:
  static constexpr Micros kMicrosPerMs = 1000;
  static constexpr double kMsPerSecond = 1e3;

  Micros MicrosAfterOrigin(std::int64_t unix_ms) const { return unix_ms * kMicrosPerMs - origin_; }

  Micros origin_;
};

}  // namespace tulipyoke

#endif  // TULIPYOKE_SRC_DISPATCH_POSITION_SCALE_HPP_
