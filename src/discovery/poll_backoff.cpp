#include "src/discovery/poll_backoff.hpp"

#include <algorithm>

namespace tulipyoke::discovery {
namespace {

constexpr Micros kInitialDelay = 100'000;
constexpr int kMaxDoublings = 4;
// Initially, all routers together make one attempt in this time on average. Each failure halves that rate
// until the limits of the delay are reached.
constexpr Micros kJitterRangePerRouter = 50'000;
// The limit of the jitter, as a multiple of the time within which each router must poll.
constexpr Micros kMaxJitterRangeFactor = 2;

// The delay before an agent is retried is this fraction of the drain timeout, but at least
// kMinAgentRetryDelay.
constexpr Micros kAgentRetryDelayDivisor = 8;
constexpr Micros kMinAgentRetryDelay = 10'000;
// An agent must respond within this fraction of the drain timeout, subject to the following limits.
constexpr Micros kAgentResponseTimeoutDivisor = 2;
constexpr Micros kMinAgentResponseTimeout = 100'000;
constexpr Micros kMaxAgentResponseTimeout = 1'000'000;

}  // namespace

ReconnectBackoff::ReconnectBackoff(const Settings& settings, std::uint64_t seed)
    : initial_delay_(kInitialDelay), random_engine_(seed) {
  if (settings.poll_endpoint_list) {
    max_doublings_ = kMaxDoublings;
    max_jitter_range_ = kMaxJitterRangeFactor * std::max<Micros>(settings.max_list_age, 0);
    initial_jitter_range_ =
        std::min(kJitterRangePerRouter * std::max(settings.router_count, 1), max_jitter_range_);
    return;
  }
  response_timeout_ = kMaxAgentResponseTimeout;
  if (settings.drain_timeout <= 0) return;
  initial_delay_ =
      std::clamp(settings.drain_timeout / kAgentRetryDelayDivisor, kMinAgentRetryDelay, kInitialDelay);
  response_timeout_ = std::clamp(settings.drain_timeout / kAgentResponseTimeoutDivisor,
                                 kMinAgentResponseTimeout, kMaxAgentResponseTimeout);
}

Micros ReconnectBackoff::NextDelay() {
  const int doublings = std::min(failures_, max_doublings_);
  ++failures_;
  const Micros jitter_range = std::min(initial_jitter_range_ << doublings, max_jitter_range_);
  const Micros jitter = std::uniform_int_distribution<Micros>(0, jitter_range)(random_engine_);
  return (initial_delay_ << doublings) + jitter;
}

}  // namespace tulipyoke::discovery
