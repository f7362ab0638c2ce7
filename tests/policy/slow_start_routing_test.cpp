// Tests routing to servers that were recently started.
#include <gtest/gtest.h>

#include <map>
#include <optional>

#include "tests/router_harness.hpp"

namespace tulipyoke {
namespace {

TEST(SlowStart, NewServerGetsOneRequestBeforeAnyObservation) {
  RouterHarness harness;
  EndpointEntry e = ReadyEntry(4);
  e.boot_time = harness.now() - 100 * kMs;
  harness.UpdateList(EndpointListKind::kDelta, {e});
  int to_new = 0;
  for (RequestId id = 1; id <= 20; ++id) to_new += SentTo(harness.Arrive(id, kAnyRead), id) == 4u;
  EXPECT_EQ(to_new, 1);
}

// Guards against one request each from hundreds of routers overloading a starting server: together they send
// it about one.
TEST(SlowStart, ManyRoutersTogetherDoNotOverloadAStartingServer) {
  Settings s = TestSettings();
  s.router_count = 200;
  int to_new = 0;
  for (std::uint64_t seed = 1; seed <= 200; ++seed) {
    RouterHarness harness(s, seed);
    EndpointEntry e = ReadyEntry(4);
    e.boot_time = harness.now() - 100 * kMs;
    harness.UpdateList(EndpointListKind::kDelta, {e});
    for (RequestId id = 1; id <= 20; ++id) to_new += SentTo(harness.Arrive(id, kAnyRead), id) == 4u;
  }
  EXPECT_LE(to_new, 6);
}

// Guards against rejecting most reads while every replica is starting. The warm rate that limits them is
// known from before, and from the first seconds on.
TEST(SlowStart, StartingServersServeWhenNoWarmServerIsLeft) {
  RouterHarness harness;
  RequestId id = 0;
  const auto served = [&](Micros span) {
    int sends = 0;
    for (const Micros end = harness.now() + span; harness.now() < end; harness.Advance(20 * kMs)) {
      const std::optional<ServerId> to = SentTo(harness.Arrive(id + 1, kAnyRead), id + 1);
      ++id;
      if (to) harness.EndAttempt(id, *to, Status::kOk, Role::kReplica, harness.now_ms());
      sends += to.has_value();
    }
    return sends;
  };
  EXPECT_GE(served(3 * kSecond), 145);
  EndpointEntry second = ReadyEntry(2), third = ReadyEntry(3);
  second.boot_time = third.boot_time = harness.now();
  harness.UpdateList(EndpointListKind::kDelta, {second, third});
  const int sends = served(kSecond);
  EXPECT_GE(sends, 10);  // a fifth of the rate of warm servers, and a little more
  EXPECT_LE(sends, 30);
}

// Guards against starving servers in slow start because the only warm one left fails or is overloaded. The
// warm rate observed before the other servers left still applies.
TEST(SlowStart, FailingServerDoesNotLowerTheWarmRate) {
  RouterHarness harness;
  RequestId id = 0;
  std::map<ServerId, int> sent;
  const auto serve = [&](Micros span) {
    sent.clear();
    for (const Micros end = harness.now() + span; harness.now() < end; harness.Advance(20 * kMs)) {
      ++id;
      auto to = SentTo(harness.Arrive(id, kAnyRead), id);
      while (to) {
        ++sent[*to];
        const Status status = *to == 3 ? Status::kError : Status::kOk;
        to = SentTo(harness.EndAttempt(id, *to, status, Role::kReplica, harness.now_ms()), id);
      }
    }
  };
  serve(5 * kSecond);
  ASSERT_GT(sent[2], 200);
  EndpointEntry draining = ReadyEntry(2), starting = ReadyEntry(4);
  draining.state = ServerState::kDraining;
  starting.boot_time = harness.now();
  harness.UpdateList(EndpointListKind::kDelta, {draining, starting});
  serve(kSecond);
  EXPECT_GE(sent[4], 4);
  EXPECT_LE(sent[4], 15);  // 20 would overload it
}

}  // namespace
}  // namespace tulipyoke
