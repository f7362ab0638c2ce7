// Writes and fresh reads, which only the primary can serve.
#include <gtest/gtest.h>

#include "tests/router_harness.hpp"

namespace tulipyoke {
namespace {

TEST(PrimaryRouting, WritesAndFreshReadsGoToTheListedOneFirst) {
  RouterHarness scene;
  EXPECT_EQ(SentTo(scene.Arrive(1, kKeyedWrite), 1), 1u);
  EXPECT_EQ(SentTo(scene.Arrive(2, kFreshRead), 2), 1u);
}

TEST(PrimaryRouting, AWriteThatAReplicaRejectsWaitsForThePrimary) {
  RouterHarness scene;
  scene.Arrive(1, kNonIdempotentWrite);
  scene.Advance(kMs);
  const auto miss = scene.EndAttempt(1, 1, Status::kStaleOrWrongRole, Role::kReplica, scene.now_ms() - 10);
  EXPECT_FALSE(SentTo(miss, 1));
  EXPECT_EQ(SentTo(scene.ReportHealthCheck(3, 0, true), 1), 3u);
  EXPECT_EQ(SentTo(scene.Arrive(2, kKeyedWrite), 2), 3u);
}

TEST(PrimaryRouting, OlderEvidenceDoesNotWin) {
  RouterHarness scene;
  scene.ReportHealthCheck(3, 10 * kMs, true);
  scene.ReportHealthCheck(2, 500 * kMs, true);  // a late report from before the switch
  EXPECT_EQ(SentTo(scene.Arrive(1, kKeyedWrite), 1), 3u);
}

TEST(PrimaryRouting, AParkedWriteIsRejectedBeforeItsDeadline) {
  RouterHarness scene;
  scene.UpdateList(EndpointListKind::kFull, {ReadyEntry(2), ReadyEntry(3)});
  scene.Arrive(1, kNonIdempotentWrite);
  const auto actions = scene.Advance(kSecond);
  EXPECT_TRUE(HasReject(actions, 1));
  EXPECT_TRUE(ActionsOfType<Send>(actions).empty());
}

// Guards against a request that waits here for more than half of its time without any server having seen it:
// its client, told when to come back, has better odds elsewhere, and such a late rejection is charged for.
TEST(PrimaryRouting, AWriteThatNobodyCanTakeIsRejectedBeforeHalfItsTime) {
  RouterHarness scene;
  scene.Arrive(1, kKeyedWrite);
  scene.EndAttempt(1, 1, Status::kStaleOrWrongRole, Role::kReplica);
  ASSERT_FALSE(SentTo(scene.Arrive(2, kKeyedWrite), 2));
  EXPECT_FALSE(HasReject(scene.Advance(400 * kMs), 2));
  const auto actions = scene.Advance(100 * kMs);
  ASSERT_TRUE(HasReject(actions, 2));
  for (const Reject& r : ActionsOfType<Reject>(actions)) EXPECT_GT(r.retry_after, 0);
}

}  // namespace
}  // namespace tulipyoke
