// What all routers pay together, as the packages under src/limits/ decide it: by themselves, without a
// module.
#include <gtest/gtest.h>

#include <algorithm>
#include <map>
#include <vector>

#include "src/discovery/poll_backoff.hpp"
#include "src/limits/crowding.hpp"
#include "tests/scene.hpp"

namespace tulipyoke::limits {
namespace {

Settings AskSettings(int gateways) {
  Settings s = TestSettings();
  s.ask_for_list = true;
  s.ask_within = 10 * kSecond;
  s.gateways = gateways;
  return s;
}

// Routers whose watches broke together ask one service, which answers 20 calls a second in turn and fails
// what has waited 2 s; a failed call costs it as much as an answered one. Returns when each was answered.
std::vector<Micros> AskOneService(int gateways, Micros day) {
  std::vector<discovery::PollBackoff> routers;
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
TEST(PollBackoff, AllRoutersHearAgainWhenTheirWatchesBreakTogether) {
  for (const int gateways : {3, 100, 300}) {
    const std::vector<Micros> answered = AskOneService(gateways, 40 * kSecond);
    EXPECT_EQ(answered.size(), static_cast<std::size_t>(gateways));
  }
  const std::vector<Micros> answered = AskOneService(100, 40 * kSecond);
  EXPECT_LT(answered[answered.size() * 9 / 10], 10 * kSecond);
}

// Guards against few routers that wait for room which they do not need, and against any that wait longer than
// they may.
TEST(PollBackoff, FewRoutersAskAtOnceAndNoneWaitsForLong) {
  discovery::PollBackoff few(AskSettings(3), 7);
  EXPECT_LE(few.NextDelay(), 300 * kMs);
  discovery::PollBackoff many(AskSettings(300), 7);
  Micros longest = 0;
  for (int i = 0; i < 200; ++i) longest = std::max(longest, many.NextDelay());
  EXPECT_LE(longest, 2 * 10 * kSecond + 1600 * kMs);
  EXPECT_GT(longest, 10 * kSecond);
  EXPECT_EQ(many.response_timeout(), discovery::PollBackoff::kHeartbeatTimeout);
  few.Reset();
  EXPECT_LE(few.NextDelay(), 300 * kMs);
}

// Guards against a list that is heard too late: what the agent holds counts as told while no watch is open,
// and what a silent watch misses counts so 6 s after it fell silent, at whatever moment of the beat that was.
TEST(PollBackoff, AnAgentIsAskedAgainInAPartOfTheGraceAndASilentWatchIsOpenedAnewInTime) {
  for (const Micros grace : {0 * kMs, 50 * kMs, 250 * kMs, 2000 * kMs, 9000 * kMs}) {
    Settings pushed = AskSettings(300);
    pushed.ask_for_list = false;
    pushed.drain_grace = grace;
    discovery::PollBackoff agent(pushed, 7);
    const Micros first = agent.NextDelay();
    for (int i = 0; i < 20; ++i) EXPECT_EQ(agent.NextDelay(), first);
    EXPECT_GE(first, 10 * kMs);
    EXPECT_LE(first, 100 * kMs);
    if (grace >= 250 * kMs) {
      EXPECT_LT(agent.response_timeout() + first, grace);
    }
    // The first one that is opened anew may be silent as well.
    for (Micros silent_for = 0; silent_for <= discovery::PollBackoff::kHeartbeatInterval;
         silent_for += 100 * kMs) {
      const Micros fell_silent = silent_for;  // after the last word
      const Micros again =
          discovery::PollBackoff::kHeartbeatTimeout + first + agent.response_timeout() + first;
      EXPECT_LT(again - fell_silent, 6000 * kMs);
    }
    EXPECT_GT(discovery::PollBackoff::kHeartbeatTimeout, 2 * discovery::PollBackoff::kHeartbeatInterval);
  }
}

// A client's further try says so by the shorter wait that it has left. Where all clients are impatient alike,
// none is late.
TEST(FirstTries, AShorterWaitThanMostHaveTellsAFurtherTry) {
  FirstTries seen;
  for (int i = 0; i < 40; ++i) {
    const bool further = i % 5 < 2;  // two in five
    const bool late = seen.IsLate(further ? 500 * kMs : 820 * kMs, 400 * kMs);
    if (i >= 4) {
      EXPECT_EQ(late, further) << i;
    }
  }
  FirstTries impatient;
  for (int i = 0; i < 40; ++i) EXPECT_FALSE(impatient.IsLate(400 * kMs, 400 * kMs));
}

struct Taken {
  int first = 0, further = 0;
};
// Of 1000 reads, every other one a further try, evenly over all chances.
Taken TakenOf(Crowding& crowding, Micros now) {
  Taken taken;
  for (int i = 0; i < 1000; ++i) {
    const bool late = i % 2 == 1;
    if (crowding.TurnsAway(now, 2 * kSecond, late ? 0.2 : 1, i / 1000.0)) continue;
    ++(late ? taken.further : taken.first);
  }
  return taken;
}

// Guards against a crowded group that turns first tries away and takes the same reads later, for little or
// nothing.
TEST(Crowding, FurtherTriesMakeRoomForFirstOnes) {
  Crowding crowding;
  const Micros now = 100 * kSecond;
  EXPECT_EQ(TakenOf(crowding, now).further, 500);
  while (crowding.Admitted(now, 2 * kSecond) > 0.5) crowding.Answered(now, 2 * kSecond, 50 * kMs, false);
  const Taken taken = TakenOf(crowding, now);
  EXPECT_GT(taken.first, 400);
  EXPECT_LT(taken.further, 50);
}

// Guards against a router that sees an answer a second and turns most reads away for one late answer in ten,
// as many as come with no crowd at all.
TEST(Crowding, OneLateAnswerAfterASilenceTurnsFewAway) {
  Crowding crowding;
  Micros now = 100 * kSecond;
  double turned_away = 0;
  for (int i = 0; i < 200; ++i) {
    now += kSecond;
    crowding.Answered(now, 15 * kSecond, 50 * kMs, i % 10 != 0);
    turned_away += 1 - crowding.Admitted(now, 15 * kSecond);
  }
  EXPECT_LT(turned_away / 200, 0.07);
}

}  // namespace
}  // namespace tulipyoke::limits
