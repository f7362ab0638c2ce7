// Which replica the Router chooses for a read.
#include <gtest/gtest.h>

#include <map>
#include <set>

#include "tests/router_harness.hpp"

namespace tulipyoke {
namespace {

TEST(ReplicaSelection, AnyReadSpreadsOverReplicasAtOnce) {
  RouterHarness scene;
  const auto first = SentTo(scene.Arrive(1, kAnyRead), 1);
  const auto second = SentTo(scene.Arrive(2, kAnyRead), 2);
  ASSERT_TRUE(first && second);
  EXPECT_EQ((std::set<ServerId>{*first, *second}), (std::set<ServerId>{2, 3}));
}

TEST(ReplicaSelection, TiesAreDrawnFromTheSeed) {
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

// Gateways that hold the same evidence do not all pick one replica.
TEST(ReplicaSelection, ManyRoutersWithTheSameEvidenceSpread) {
  std::map<ServerId, int> picked;
  for (std::uint64_t seed = 1; seed <= 100; ++seed) {
    RouterHarness scene(TestSettings(), seed);
    ReportPositions(scene, 100 * kMs, 100 * kMs);
    ++picked[SentTo(scene.Arrive(1, kBoundedRead), 1).value_or(0)];
  }
  EXPECT_GE(picked[2], 30);
  EXPECT_GE(picked[3], 30);
}

// A position shown long ago has moved on: the time since then counts off the predicted wait.
TEST(ReplicaSelection, AnOldPositionIsNotTakenForAWait) {
  RouterHarness scene(WaitingGuardSettings());
  ReportPositions(scene, 10 * kMs, 10 * kMs);
  scene.Advance(10 * kSecond);
  EXPECT_TRUE(SentTo(scene.Arrive(1, kBoundedRead), 1));
}

TEST(ReplicaSelection, RemainingWorkFallsWithTimeSpent) {
  RouterHarness scene;
  const auto first = *SentTo(scene.Arrive(1, kAnyRead), 1);
  scene.Advance(90 * kMs);  // first guess is 100 ms: 10 ms of it remain
  const auto second = *SentTo(scene.Arrive(2, kAnyRead), 2);
  EXPECT_NE(first, second);
  EXPECT_EQ(*SentTo(scene.Arrive(3, kAnyRead), 3), first);
}

TEST(ReplicaSelection, PredictedWaitOutweighsALittleLoad) {
  RouterHarness scene;
  ReportPositions(scene, 0, 900 * kMs);  // 3 is 400 ms short of the bound of 500 ms
  EXPECT_EQ(SentTo(scene.Arrive(1, kBoundedRead), 1), 2u);
  EXPECT_EQ(SentTo(scene.Arrive(2, kBoundedRead), 2), 2u);
}

TEST(ReplicaSelection, SlowServerIsAvoidedAndForgivenInTime) {
  RouterHarness scene;
  for (RequestId id = 1; id <= 40; ++id) {
    const auto to = *SentTo(scene.Arrive(id, kAnyRead), id);
    scene.Advance(kMs);
    scene.EndAttempt(id, to, Status::kOk, Role::kReplica, {}, -1, true, to == 2 ? 390 * kMs : 20 * kMs);
  }
  for (RequestId id = 100; id < 104; ++id) EXPECT_NE(SentTo(scene.Arrive(id, kAnyRead), id), 2u);
  scene.Advance(30 * kSecond);
  std::set<ServerId> seen;
  for (RequestId id = 200; id < 220; ++id) seen.insert(SentTo(scene.Arrive(id, kAnyRead), id).value_or(0));
  EXPECT_TRUE(seen.contains(2));
}

// A long query can hold up the applying where it runs: reads that need no position leave the fresh replicas
// to those that do, as long as the stale one is quick enough.
TEST(ReplicaSelection, ReadsThatNeedNoPositionGoToTheStaleReplicaWithinTheirObjective) {
  RouterHarness scene;
  ReportPositions(scene, 0, 900 * kMs);
  EXPECT_EQ(SentTo(scene.Arrive(1, kAnyRead), 1), 3u);
  EXPECT_EQ(SentTo(scene.Arrive(2, kAnyRead), 2), 3u);
  EXPECT_EQ(SentTo(scene.Arrive(3, kAnyRead), 3), 2u);  // more would cost it half its objective
}

}  // namespace
}  // namespace tulipyoke
