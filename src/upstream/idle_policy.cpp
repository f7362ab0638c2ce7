#include "src/upstream/idle_policy.hpp"

#include <algorithm>

namespace tulipyoke::net {
namespace {

// The part of the servers' time-out during which an idle connection is used.
constexpr double kUsableShare = 0.6;
// So many checks fall into the rest of it.
constexpr int kChecksInRest = 2;
constexpr Micros kMinCheckInterval = 10'000;
// Stalled transfers are found by the same check.
constexpr Micros kMaxCheckInterval = 500'000;

}  // namespace

Micros IdlePolicy::OldestUsable(Micros now) const {
  return now - static_cast<Micros>(kUsableShare * static_cast<double>(server_idle_timeout_));
}

Micros IdlePolicy::CheckInterval() const {
  const auto rest = static_cast<Micros>((1 - kUsableShare) * static_cast<double>(server_idle_timeout_));
  return std::clamp(rest / kChecksInRest, kMinCheckInterval, kMaxCheckInterval);
}

}  // namespace tulipyoke::net
