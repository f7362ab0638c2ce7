// Tests which replica the Router chooses for a read.
#include <gtest/gtest.h>

#include <map>
#include <set>

#include "tests/router_harness.hpp"

namespace tulipyoke {
namespace {

TEST(ReplicaSelection, ConcurrentReadsSpreadOverReplicas) {
  RouterHarness harness;
  const auto first = SentTo(harness.Arrive(1, kAnyRead), 1);
  const auto second = SentTo(harness.Arrive(2, kAnyRead), 2);
  ASSERT_TRUE(first && second);
  EXPECT_EQ((std::set<ServerId>{*first, *second}), (std::set<ServerId>{2, 3}));
}

TEST(ReplicaSelection, TiesAreBrokenByTheSeed) {
  std::set<ServerId> seen;
  for (std::uint64_t seed = 0; seed < 16; ++seed) {
    RouterHarness a(TestSettings(), seed);
    RouterHarness b(TestSettings(), seed);
    const auto sent = SentTo(a.Arrive(1, kAnyRead), 1);
    EXPECT_EQ(sent, SentTo(b.Arrive(1, kAnyRead), 1));
    seen.insert(sent.value_or(0));
  }
  EXPECT_EQ(seen, (std::set<ServerId>{2, 3}));
}

// Guards against all routers with the same observations choosing the same replica.
TEST(ReplicaSelection, RoutersWithTheSameObservationsChooseDifferentReplicas) {
  std::map<ServerId, int> picked;
  for (std::uint64_t seed = 1; seed <= 100; ++seed) {
    RouterHarness harness(TestSettings(), seed);
    ReportPositions(harness, 100 * kMs, 100 * kMs);
    ++picked[SentTo(harness.Arrive(1, kBoundedRead), 1).value_or(0)];
  }
  EXPECT_GE(picked[2], 30);
  EXPECT_GE(picked[3], 30);
}

// A replica advances after its position was observed: the time since then reduces the predicted wait.
TEST(ReplicaSelection, AgeOfAPositionReducesThePredictedWait) {
  RouterHarness harness(WaitingGuardSettings());
  ReportPositions(harness, 10 * kMs, 10 * kMs);
  harness.Advance(10 * kSecond);
  EXPECT_TRUE(SentTo(harness.Arrive(1, kBoundedRead), 1));
}

TEST(ReplicaSelection, RemainingWorkFallsWithElapsedTime) {
  RouterHarness harness;
  const auto first = *SentTo(harness.Arrive(1, kAnyRead), 1);
  harness.Advance(90 * kMs);  // the initial estimate is 100 ms, so 10 ms remain
  const auto second = *SentTo(harness.Arrive(2, kAnyRead), 2);
  EXPECT_NE(first, second);
  EXPECT_EQ(*SentTo(harness.Arrive(3, kAnyRead), 3), first);
}

TEST(ReplicaSelection, PredictedWaitOutweighsALightLoad) {
  RouterHarness harness;
  ReportPositions(harness, 0, 900 * kMs);  // server 3 lags 400 ms more than the bound of 500 ms allows
  EXPECT_EQ(SentTo(harness.Arrive(1, kBoundedRead), 1), 2u);
  EXPECT_EQ(SentTo(harness.Arrive(2, kBoundedRead), 2), 2u);
}

TEST(ReplicaSelection, SlowServerIsAvoidedUntilTheObservationFades) {
  RouterHarness harness;
  for (RequestId id = 1; id <= 40; ++id) {
    const auto to = *SentTo(harness.Arrive(id, kAnyRead), id);
    harness.Advance(kMs);
    harness.EndAttempt(id, to, Status::kOk, Role::kReplica, {}, -1, true, to == 2 ? 390 * kMs : 20 * kMs);
  }
  for (RequestId id = 100; id < 104; ++id) EXPECT_NE(SentTo(harness.Arrive(id, kAnyRead), id), 2u);
  harness.Advance(30 * kSecond);
  std::set<ServerId> seen;
  for (RequestId id = 200; id < 220; ++id) seen.insert(SentTo(harness.Arrive(id, kAnyRead), id).value_or(0));
  EXPECT_TRUE(seen.contains(2));
}

// A long query can delay replication on the server that runs it. Reads that need no position leave the fresh
// replicas to those that do, as long as the stale one is fast enough.
TEST(ReplicaSelection, ReadsWithoutAPositionPreferAFastStaleReplica) {
  RouterHarness harness;
  ReportPositions(harness, 0, 900 * kMs);
  EXPECT_EQ(SentTo(harness.Arrive(1, kAnyRead), 1), 3u);
  EXPECT_EQ(SentTo(harness.Arrive(2, kAnyRead), 2), 3u);
  EXPECT_EQ(SentTo(harness.Arrive(3, kAnyRead), 3), 2u);  // a third there would exceed half its objective
}

}  // namespace
}  // namespace tulipyoke
