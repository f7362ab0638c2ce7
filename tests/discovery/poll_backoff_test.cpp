// Tests the reconnect delays of single routers and of many routers that reconnect together.
#include "src/discovery/poll_backoff.hpp"

#include <gtest/gtest.h>

#include <algorithm>
#include <map>
#include <vector>

#include "tests/router_harness.hpp"

namespace tulipyoke::limits {
namespace {

Settings PollingSettings(int num_routers) {
  Settings settings = TestSettings();
  settings.poll_endpoint_list = true;
  settings.max_list_age = 10 * kSecond;
  settings.router_count = num_routers;
  return settings;
}

// Simulates routers whose watches broke at the same time and that reconnect to one service. The service
// handles 20 calls a second, one after another, and fails each call that waited longer than 2 s. A failed
// call costs it as much as a successful one. Returns the times of the successful responses.
std::vector<Micros> SimulateReconnects(int num_routers, Micros duration) {
  std::vector<discovery::ReconnectBackoff> routers;
  std::multimap<Micros, std::size_t> pending_calls;
  for (int i = 0; i < num_routers; ++i) {
    routers.emplace_back(PollingSettings(num_routers), static_cast<std::uint64_t>(i) + 1);
    pending_calls.emplace(routers.back().NextDelay(), routers.size() - 1);
  }
  std::vector<Micros> response_times;
  Micros service_free_at = 0;
  while (!pending_calls.empty() && pending_calls.begin()->first < duration) {
    const auto [called_at, router] = *pending_calls.begin();
    pending_calls.erase(pending_calls.begin());
    service_free_at = std::max(service_free_at, called_at) + 50 * kMs;
    if (service_free_at - called_at <= 2 * kSecond) {
      response_times.push_back(service_free_at);
      routers[router].Reset();
    } else {
      pending_calls.emplace(called_at + 2 * kSecond + routers[router].NextDelay(), router);
    }
  }
  return response_times;
}

// Guards against routers that retry in step, so that every call waits too long and the service only handles
// calls that fail, for as long as the simulation runs.
TEST(ReconnectBackoff, AllRoutersReconnectAfterSimultaneousDisconnects) {
  for (const int num_routers : {3, 100, 300}) {
    const std::vector<Micros> response_times = SimulateReconnects(num_routers, 40 * kSecond);
    EXPECT_EQ(response_times.size(), static_cast<std::size_t>(num_routers));
  }
  const std::vector<Micros> response_times = SimulateReconnects(100, 40 * kSecond);
  EXPECT_LT(response_times[response_times.size() * 9 / 10], 10 * kSecond);
}

// Guards against unnecessary delays for a small number of routers, and against delays above the limit for any
// number.
TEST(ReconnectBackoff, FewRoutersReconnectPromptlyAndDelaysAreBounded) {
  discovery::ReconnectBackoff few_routers(PollingSettings(3), 7);
  EXPECT_LE(few_routers.NextDelay(), 300 * kMs);
  discovery::ReconnectBackoff many_routers(PollingSettings(300), 7);
  Micros longest_delay = 0;
  for (int i = 0; i < 200; ++i) longest_delay = std::max(longest_delay, many_routers.NextDelay());
  EXPECT_LE(longest_delay, 2 * 10 * kSecond + 1600 * kMs);
  EXPECT_GT(longest_delay, 10 * kSecond);
  EXPECT_EQ(many_routers.response_timeout(), discovery::ReconnectBackoff::kHeartbeatTimeout);
  few_routers.Reset();
  EXPECT_LE(few_routers.NextDelay(), 300 * kMs);
}

// Guards against learning the list too late. The router counts as informed of the agent's state even while no
// watch is open, and of what a silent watch misses 6 s after the silence began, at any point within the
// heartbeat interval.
TEST(ReconnectBackoff, RetriesAgentsWithinTheDrainTimeoutAndReplacesSilentWatchesInTime) {
  for (const Micros drain_duration : {0 * kMs, 50 * kMs, 250 * kMs, 2000 * kMs, 9000 * kMs}) {
    Settings agent_settings = PollingSettings(300);
    agent_settings.poll_endpoint_list = false;
    agent_settings.drain_timeout = drain_duration;
    discovery::ReconnectBackoff agent_backoff(agent_settings, 7);
    const Micros retry_delay = agent_backoff.NextDelay();
    for (int i = 0; i < 20; ++i) EXPECT_EQ(agent_backoff.NextDelay(), retry_delay);
    EXPECT_GE(retry_delay, 10 * kMs);
    EXPECT_LE(retry_delay, 100 * kMs);
    if (drain_duration >= 250 * kMs) {
      EXPECT_LT(agent_backoff.response_timeout() + retry_delay, drain_duration);
    }
    // The first replacement watch may be silent as well.
    for (Micros silence_offset = 0; silence_offset <= discovery::ReconnectBackoff::kHeartbeatInterval;
         silence_offset += 100 * kMs) {
      const Micros silence_started_at = silence_offset;  // after the last heartbeat
      const Micros reconnected_at = discovery::ReconnectBackoff::kHeartbeatTimeout + retry_delay +
                                    agent_backoff.response_timeout() + retry_delay;
      EXPECT_LT(reconnected_at - silence_started_at, 6000 * kMs);
    }
    EXPECT_GT(discovery::ReconnectBackoff::kHeartbeatTimeout,
              2 * discovery::ReconnectBackoff::kHeartbeatInterval);
  }
}

}  // namespace
}  // namespace tulipyoke::limits
