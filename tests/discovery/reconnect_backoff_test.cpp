// When routers ask for the endpoint list again: many of them together, and each by itself.
#include "src/discovery/reconnect_backoff.hpp"

#include <gtest/gtest.h>

#include <algorithm>
#include <map>
#include <vector>

#include "tests/router_harness.hpp"

namespace tulipyoke::limits {
namespace {

Settings AskSettings(int gateways) {
  Settings s = TestSettings();
  s.poll_endpoint_list = true;
  s.max_list_age = 10 * kSecond;
  s.router_count = gateways;
  return s;
}

// Routers whose watches broke together ask one service, which answers 20 calls a second in turn and fails
// what has waited 2 s; a failed call costs it as much as an answered one. Returns when each was answered.
std::vector<Micros> AskOneService(int gateways, Micros day) {
  std::vector<discovery::ReconnectBackoff> routers;
  std::multimap<Micros, std::size_t> calls;
  for (int i = 0; i < gateways; ++i) {
    routers.emplace_back(AskSettings(gateways), static_cast<std::uint64_t>(i) + 1);
    calls.emplace(routers.back().NextDelay(), routers.size() - 1);
  }
  std::vector<Micros> answered;
  Micros free_at = 0;
  while (!calls.empty() && calls.begin()->first < day) {
    const auto [at, router] = *calls.begin();
    calls.erase(calls.begin());
    free_at = std::max(free_at, at) + 50 * kMs;
    if (free_at - at <= 2 * kSecond) {
      answered.push_back(free_at);
      routers[router].Reset();
    } else {
      calls.emplace(at + 2 * kSecond + routers[router].NextDelay(), router);
    }
  }
  return answered;
}

// Guards against a service full of calls that it fails: in step, every call waits too long, for the whole
// day.
TEST(ReconnectBackoff, AllRoutersHearAgainWhenTheirWatchesBreakTogether) {
  for (const int gateways : {3, 100, 300}) {
    const std::vector<Micros> answered = AskOneService(gateways, 40 * kSecond);
    EXPECT_EQ(answered.size(), static_cast<std::size_t>(gateways));
  }
  const std::vector<Micros> answered = AskOneService(100, 40 * kSecond);
  EXPECT_LT(answered[answered.size() * 9 / 10], 10 * kSecond);
}

// Guards against few routers that wait for room which they do not need, and against any that wait longer than
// they may.
TEST(ReconnectBackoff, FewRoutersAskAtOnceAndNoneWaitsForLong) {
  discovery::ReconnectBackoff few(AskSettings(3), 7);
  EXPECT_LE(few.NextDelay(), 300 * kMs);
  discovery::ReconnectBackoff many(AskSettings(300), 7);
  Micros longest = 0;
  for (int i = 0; i < 200; ++i) longest = std::max(longest, many.NextDelay());
  EXPECT_LE(longest, 2 * 10 * kSecond + 1600 * kMs);
  EXPECT_GT(longest, 10 * kSecond);
  EXPECT_EQ(many.response_timeout(), discovery::ReconnectBackoff::kHeartbeatTimeout);
  few.Reset();
  EXPECT_LE(few.NextDelay(), 300 * kMs);
}

// Guards against a list that is heard too late: what the agent holds counts as told while no watch is open,
// and what a silent watch misses counts so 6 s after it fell silent, at whatever moment of the beat that was.
TEST(ReconnectBackoff, AnAgentIsAskedAgainInAPartOfTheGraceAndASilentWatchIsOpenedAnewInTime) {
  for (const Micros grace : {0 * kMs, 50 * kMs, 250 * kMs, 2000 * kMs, 9000 * kMs}) {
    Settings pushed = AskSettings(300);
    pushed.poll_endpoint_list = false;
    pushed.drain_timeout = grace;
    discovery::ReconnectBackoff agent(pushed, 7);
    const Micros first = agent.NextDelay();
    for (int i = 0; i < 20; ++i) EXPECT_EQ(agent.NextDelay(), first);
    EXPECT_GE(first, 10 * kMs);
    EXPECT_LE(first, 100 * kMs);
    if (grace >= 250 * kMs) {
      EXPECT_LT(agent.response_timeout() + first, grace);
    }
    // The first one that is opened anew may be silent as well.
    for (Micros silent_for = 0; silent_for <= discovery::ReconnectBackoff::kHeartbeatInterval;
         silent_for += 100 * kMs) {
      const Micros fell_silent = silent_for;  // after the last word
      const Micros again =
          discovery::ReconnectBackoff::kHeartbeatTimeout + first + agent.response_timeout() + first;
      EXPECT_LT(again - fell_silent, 6000 * kMs);
    }
    EXPECT_GT(discovery::ReconnectBackoff::kHeartbeatTimeout,
              2 * discovery::ReconnectBackoff::kHeartbeatInterval);
  }
}

}  // namespace
}  // namespace tulipyoke::limits
