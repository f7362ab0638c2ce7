#include "src/discovery/reconnect_backoff.hpp"

#include <algorithm>

namespace tulipyoke::discovery {
namespace {

constexpr Micros kInitialDelay = 100'000;
constexpr int kMaxDoublings = 4;
// All routers together make one attempt in this time at first, and half as many after each failure.
constexpr Micros kSpreadPerRouter = 50'000;
// The widest spread, as a multiple of the time within which each router has to poll.
constexpr Micros kMaxSpreadFactor = 2;

// An agent is retried after this part of the drain timeout, at least after kMinAgentDelay.
constexpr Micros kAgentDelayDivisor = 8;
constexpr Micros kMinAgentDelay = 10'000;
// An agent has this part of the drain timeout to respond, within these limits.
constexpr Micros kAgentResponseDivisor = 2;
constexpr Micros kMinAgentResponse = 100'000;
constexpr Micros kMaxAgentResponse = 1'000'000;

}  // namespace

ReconnectBackoff::ReconnectBackoff(const Settings& settings, std::uint64_t seed)
    : initial_delay_(kInitialDelay), random_(seed) {
  if (settings.poll_endpoint_list) {
    max_doublings_ = kMaxDoublings;
    max_spread_ = kMaxSpreadFactor * std::max<Micros>(settings.max_list_age, 0);
    initial_spread_ = std::min(kSpreadPerRouter * std::max(settings.router_count, 1), max_spread_);
    return;
  }
  response_timeout_ = kMaxAgentResponse;
  if (settings.drain_timeout <= 0) return;
  initial_delay_ = std::clamp(settings.drain_timeout / kAgentDelayDivisor, kMinAgentDelay, kInitialDelay);
  response_timeout_ =
      std::clamp(settings.drain_timeout / kAgentResponseDivisor, kMinAgentResponse, kMaxAgentResponse);
}

Micros ReconnectBackoff::NextDelay() {
  const int doublings = std::min(failures_, max_doublings_);
  ++failures_;
  const Micros spread = std::min(initial_spread_ << doublings, max_spread_);
  const Micros random_part = std::uniform_int_distribution<Micros>(0, spread)(random_);
  return (initial_delay_ << doublings) + random_part;
}

}  // namespace tulipyoke::discovery
