// Converts replication positions between Unix milliseconds, which servers and the peer process use, and
// milliseconds after the configured epoch, which the routing policy uses.
#ifndef TULIPYOKE_SRC_DISPATCH_POSITION_SCALE_HPP_
#define TULIPYOKE_SRC_DISPATCH_POSITION_SCALE_HPP_

#include <algorithm>
#include <cmath>
#include <cstdint>

#include "tulipyoke/router.hpp"

namespace tulipyoke {

// The position that a server has replayed is rounded down and a session's commit is rounded up, so that a
// read is never considered fresher than it is.
class PositionScale {
 public:
  explicit PositionScale(Micros epoch) : epoch_(epoch) {}

  bool IsAfterEpoch(std::int64_t unix_ms) const { return MicrosAfterEpoch(unix_ms) > 0; }

  // Milliseconds after the epoch; 0 for a time before the epoch.
  std::int64_t FromUnixMsRoundedDown(std::int64_t unix_ms) const {
    return std::max<Micros>(MicrosAfterEpoch(unix_ms), 0) / kMicrosPerMs;
  }
  std::int64_t FromUnixMsRoundedUp(std::int64_t unix_ms) const {
    return (std::max<Micros>(MicrosAfterEpoch(unix_ms), 0) + kMicrosPerMs - 1) / kMicrosPerMs;
  }

  // Rounds a load report's position down to a whole Unix millisecond; returns seconds after the epoch.
  double ToReportSeconds(double unix_ms) const {
    const double epoch_ms = static_cast<double>(epoch_) / kMicrosPerMs;
    return (std::floor(unix_ms) - epoch_ms) / kMsPerSecond;
  }

  std::int64_t ToUnixMsRoundedDown(std::int64_t position_ms) const {
    return (position_ms * kMicrosPerMs + epoch_) / kMicrosPerMs;
  }
  std::int64_t ToUnixMsRoundedUp(std::int64_t position_ms) const {
    return (position_ms * kMicrosPerMs + epoch_ + kMicrosPerMs - 1) / kMicrosPerMs;
  }

 private:
  static constexpr Micros kMicrosPerMs = 1000;
  static constexpr double kMsPerSecond = 1e3;

  Micros MicrosAfterEpoch(std::int64_t unix_ms) const { return unix_ms * kMicrosPerMs - epoch_; }

  Micros epoch_;
};

}  // namespace tulipyoke

#endif  // TULIPYOKE_SRC_DISPATCH_POSITION_SCALE_HPP_
