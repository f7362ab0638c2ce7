// Servers that were started lately.
#include <gtest/gtest.h>

#include <map>
#include <optional>

#include "tests/router_harness.hpp"

namespace tulipyoke {
namespace {

TEST(SlowStart, ANewServerGetsOneRequestUntilMoreIsKnown) {
  RouterHarness scene;
  EndpointEntry e = ReadyEntry(4);
  e.boot_time = scene.now() - 100 * kMs;
  scene.UpdateList(EndpointListKind::kDelta, {e});
  int to_new = 0;
  for (RequestId id = 1; id <= 20; ++id) to_new += SentTo(scene.Arrive(id, kAnyRead), id) == 4u;
  EXPECT_EQ(to_new, 1);
}

// "One each" from hundreds of routers would push a server that warms up over: together they send it about
// one.
TEST(SlowStart, ManyRoutersTogetherSpareAServerThatWarmsUp) {
  Settings s = TestSettings();
  s.router_count = 200;
  int to_new = 0;
  for (std::uint64_t seed = 1; seed <= 200; ++seed) {
    RouterHarness scene(s, seed);
    EndpointEntry e = ReadyEntry(4);
    e.boot_time = scene.now() - 100 * kMs;
    scene.UpdateList(EndpointListKind::kDelta, {e});
    for (RequestId id = 1; id <= 20; ++id) to_new += SentTo(scene.Arrive(id, kAnyRead), id) == 4u;
  }
  EXPECT_LE(to_new, 6);
}

// Guards against refusing most reads while every replica is new: their warm share is known from before, and
// from the first seconds on.
TEST(SlowStart, ServersThatWarmUpServeWhenNoWarmOneIsLeft) {
  RouterHarness s;
  RequestId id = 0;
  const auto served = [&](Micros span) {
    int sends = 0;
    for (const Micros end = s.now() + span; s.now() < end; s.Advance(20 * kMs)) {
      const std::optional<ServerId> to = SentTo(s.Arrive(id + 1, kAnyRead), id + 1);
      ++id;
      if (to) s.EndAttempt(id, *to, Status::kOk, Role::kReplica, s.now_ms());
      sends += to.has_value();
    }
    return sends;
  };
  EXPECT_GE(served(3 * kSecond), 145);
  EndpointEntry second = ReadyEntry(2), third = ReadyEntry(3);
  second.boot_time = third.boot_time = s.now();
  s.UpdateList(EndpointListKind::kDelta, {second, third});
  const int sends = served(kSecond);
  EXPECT_GE(sends, 10);  // a fifth of what it would be if they were warm, and a little more
  EXPECT_LE(sends, 30);
}

// Guards against servers that warm up that are starved because the only warm one left fails or is overloaded:
// what warm ones finished before the others left is what they can do.
TEST(SlowStart, AFailingServerSaysNothingOfWhatOthersCanDo) {
  RouterHarness s;
  RequestId id = 0;
  std::map<ServerId, int> sent;
  const auto serve = [&](Micros span) {
    sent.clear();
    for (const Micros end = s.now() + span; s.now() < end; s.Advance(20 * kMs)) {
      ++id;
      auto to = SentTo(s.Arrive(id, kAnyRead), id);
      while (to) {
        ++sent[*to];
        const Status status = *to == 3 ? Status::kError : Status::kOk;
        to = SentTo(s.EndAttempt(id, *to, status, Role::kReplica, s.now_ms()), id);
      }
    }
  };
  serve(5 * kSecond);
  ASSERT_GT(sent[2], 200);
  EndpointEntry leaves = ReadyEntry(2), joins = ReadyEntry(4);
  leaves.state = ServerState::kDraining;
  joins.boot_time = s.now();
  s.UpdateList(EndpointListKind::kDelta, {leaves, joins});
  serve(kSecond);
  EXPECT_GE(sent[4], 4);
  EXPECT_LE(sent[4], 15);  // what makes it fall is 20
}

}  // namespace
}  // namespace tulipyoke
