#include "src/upstream/idle_policy.hpp"

#include <algorithm>

namespace tulipyoke::net {
namespace {

// The fraction of the servers' idle timeout during which an idle connection may be used.
constexpr double kUsableFraction = 0.6;
// The number of checks during the remaining part of that timeout.
constexpr int kChecksInRemainder = 2;
constexpr Micros kMinCheckInterval = 10'000;
// The same check detects stalled streams.
constexpr Micros kMaxCheckInterval = 500'000;

}  // namespace

Micros IdlePolicy::IdleSinceCutoff(Micros now) const {
  return now - static_cast<Micros>(kUsableFraction * static_cast<double>(server_idle_timeout_));
}

Micros IdlePolicy::CheckInterval() const {
  const auto remaining =
      static_cast<Micros>((1 - kUsableFraction) * static_cast<double>(server_idle_timeout_));
  return std::clamp(remaining / kChecksInRemainder, kMinCheckInterval, kMaxCheckInterval);
}

}  // namespace tulipyoke::net
