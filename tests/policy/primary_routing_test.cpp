// Tests the routing of writes and fresh reads, which only the primary can serve.
#include <gtest/gtest.h>

#include "tests/router_harness.hpp"

namespace tulipyoke {
namespace {

TEST(PrimaryRouting, WritesAndFreshReadsGoToTheListedPrimary) {
  RouterHarness harness;
  EXPECT_EQ(SentTo(harness.Arrive(1, kKeyedWrite), 1), 1u);
  EXPECT_EQ(SentTo(harness.Arrive(2, kFreshRead), 2), 1u);
}

TEST(PrimaryRouting, WriteRejectedByAReplicaWaitsForThePrimary) {
  RouterHarness harness;
  harness.Arrive(1, kNonIdempotentWrite);
  harness.Advance(kMs);
  const auto rejection =
      harness.EndAttempt(1, 1, Status::kStaleOrWrongRole, Role::kReplica, harness.now_ms() - 10);
  EXPECT_FALSE(SentTo(rejection, 1));
  EXPECT_EQ(SentTo(harness.ReportHealthCheck(3, 0, true), 1), 3u);
  EXPECT_EQ(SentTo(harness.Arrive(2, kKeyedWrite), 2), 3u);
}

TEST(PrimaryRouting, OlderRoleReportDoesNotReplaceANewerOne) {
  RouterHarness harness;
  harness.ReportHealthCheck(3, 10 * kMs, true);
  harness.ReportHealthCheck(2, 500 * kMs, true);  // a late report from before the failover
  EXPECT_EQ(SentTo(harness.Arrive(1, kKeyedWrite), 1), 3u);
}

TEST(PrimaryRouting, ParkedWriteIsRejectedBeforeItsDeadline) {
  RouterHarness harness;
  harness.UpdateList(EndpointListKind::kFull, {ReadyEntry(2), ReadyEntry(3)});
  harness.Arrive(1, kNonIdempotentWrite);
  const auto actions = harness.Advance(kSecond);
  EXPECT_TRUE(HasReject(actions, 1));
  EXPECT_TRUE(ActionsOfType<Send>(actions).empty());
}

// Guards against a request that waits for more than half of its time before any server gets it. If its client
// is told earlier when to retry, it has better odds elsewhere, and such a late rejection has a cost.
TEST(PrimaryRouting, UnroutableWriteIsRejectedBeforeHalfItsTime) {
  RouterHarness harness;
  harness.Arrive(1, kKeyedWrite);
  harness.EndAttempt(1, 1, Status::kStaleOrWrongRole, Role::kReplica);
  ASSERT_FALSE(SentTo(harness.Arrive(2, kKeyedWrite), 2));
  EXPECT_FALSE(HasReject(harness.Advance(400 * kMs), 2));
  const auto actions = harness.Advance(100 * kMs);
  ASSERT_TRUE(HasReject(actions, 2));
  for (const Reject& r : ActionsOfType<Reject>(actions)) EXPECT_GT(r.retry_after, 0);
}

}  // namespace
}  // namespace tulipyoke
