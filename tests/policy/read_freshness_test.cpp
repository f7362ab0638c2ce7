// Tests reads that need a position: bounded and session reads.
#include <gtest/gtest.h>

#include <limits>
#include <vector>

#include "tests/router_harness.hpp"

namespace tulipyoke {
namespace {

TEST(ReadFreshness, NewRouterChecksReplicasAndParksBoundedReads) {
  RouterHarness harness;
  EXPECT_FALSE(SentTo(harness.Arrive(1, kBoundedRead), 1));
  const auto reported = harness.ReportHealthCheck(2, 100 * kMs);
  EXPECT_EQ(SentTo(reported, 1), 2u);
}

TEST(ReadFreshness, WithoutGuardAReadWaitsForAnObservedPosition) {
  RouterHarness harness;
  ReportPositions(harness, 600 * kMs, 700 * kMs);
  const auto parked = harness.Arrive(1, kBoundedRead);
  EXPECT_FALSE(SentTo(parked, 1));
  EXPECT_EQ(ActionsOfType<CheckHealth>(parked).size(), 1u);  // of the replica that the read waits for
  EXPECT_FALSE(SentTo(harness.Advance(150 * kMs), 1));       // a prediction alone is not enough
  EXPECT_EQ(SentTo(harness.ReportHealthCheck(2, 50 * kMs), 1), 2u);
}

TEST(ReadFreshness, OneHealthCheckServesAllParkedReads) {
  RouterHarness harness;
  ReportPositions(harness, 600 * kMs, 5 * kSecond);
  std::size_t health_checks = 0;
  for (RequestId id = 1; id <= 5; ++id)
    health_checks += ActionsOfType<CheckHealth>(harness.Arrive(id, kBoundedRead)).size();
  EXPECT_EQ(health_checks, 1u);
  EXPECT_EQ(ActionsOfType<Send>(harness.ReportHealthCheck(2, 0)).size(), 5u);
}

TEST(ReadFreshness, WaitingGuardGetsReadsWithinTheCatchUpWait) {
  RouterHarness harness(WaitingGuardSettings());
  ReportPositions(harness, 530 * kMs, 900 * kMs);
  EXPECT_EQ(SentTo(harness.Arrive(1, kBoundedRead), 1), 2u);
}

// A router with little traffic has only old observations; the server's own check makes it safe to rely on the
// prediction.
TEST(ReadFreshness, RejectingGuardGetsOnePredictedReadAtATime) {
  Settings s = TestSettings();
  s.staleness_guard = StalenessGuard::kReject;
  s.token_mode = TokenMode::kSentByClient;
  RouterHarness harness(s);
  ReportPositions(harness, 520 * kMs, 3 * kSecond);
  EXPECT_FALSE(SentTo(ArriveWithToken(harness, 1, 500), 1));
  harness.Advance(30 * kMs);  // the predicted wait has passed, though no newer position was observed
  EXPECT_EQ(SentTo(ArriveWithToken(harness, 2, 530), 2), 2u);
  EXPECT_FALSE(SentTo(ArriveWithToken(harness, 3, 530), 3));
}

TEST(ReadFreshness, SessionReadNeedsTheWriteOfItsSession) {
  RouterHarness harness;
  ReportPositions(harness);
  harness.Arrive(1, kKeyedWrite, 77);
  harness.Advance(20 * kMs);
  harness.EndAttempt(1, 1, Status::kOk, Role::kPrimary, harness.now_ms());
  harness.Advance(20 * kMs);
  EXPECT_FALSE(SentTo(harness.Arrive(2, kSessionRead, 77), 2));
  EXPECT_TRUE(SentTo(harness.Arrive(3, kSessionRead, 78), 3));  // another session may use any replica
  EXPECT_FALSE(SentTo(harness.ReportHealthCheck(2, 21 * kMs), 2));
  EXPECT_FALSE(SentTo(harness.ReportHealthCheck(3, 21 * kMs), 2));
  harness.ReportHealthCheck(3, 10 * kMs);
  harness.ReportHealthCheck(2, 30 * kMs);
  // The read may wait for server 2 first; when the predicted wait passes without effect, a replica is
  // selected again.
  std::vector<Action> after = harness.Advance(60 * kMs);
  const auto late = harness.ReportHealthCheck(3, 0);
  after.insert(after.end(), late.begin(), late.end());
  EXPECT_EQ(SentTo(after, 2).value_or(3), 3u);
}

// A write may commit after its request has ended here; its session must see it nevertheless.
TEST(ReadFreshness, CommitOfAnEndedRequestIsRecorded) {
  RouterHarness harness;
  ReportPositions(harness);
  harness.Arrive(1, kKeyedWrite, 77);
  harness.Handle(RequestCancelled{1});
  harness.Advance(20 * kMs);
  harness.EndAttempt(1, 1, Status::kOk, Role::kPrimary, harness.now_ms());
  EXPECT_FALSE(SentTo(harness.Arrive(2, kSessionRead, 77), 2));
}

TEST(ReadFreshness, ClientTokenRoundsTheCommitUp) {
  Settings s = TestSettings();
  s.token_mode = TokenMode::kSentByClient;
  RouterHarness harness(s);
  ReportPositions(harness, 100 * kMs, 100 * kMs);
  EXPECT_FALSE(SentTo(ArriveWithToken(harness, 1, 100), 1));  // equals the lag; the float may be rounded
  EXPECT_TRUE(SentTo(ArriveWithToken(harness, 2, 101), 2));
}

TEST(ReadFreshness, ImpossiblePositionsAreIgnored) {
  for (const float x0 : {1e30F, -5.0F, 0.0F, std::numeric_limits<float>::quiet_NaN(), 101.0F}) {
    RouterHarness harness;
    HealthCheckEnded e;
    e.server = 2;
    e.report = {x0, 0.0F};
    harness.Handle(e);
    EXPECT_FALSE(SentTo(harness.Arrive(1, kBoundedRead), 1)) << x0;
  }
}

// An observed apply rate of zero must not exclude a replica for ever.
TEST(ReadFreshness, UnconfirmedApplyRateReturnsToOne) {
  RouterHarness harness(WaitingGuardSettings());
  harness.UpdateList(EndpointListKind::kFull, {ReadyEntry(1, true), ReadyEntry(2)});
  ReportPositions(harness);
  const auto to = SentTo(harness.Arrive(1, kAnyRead), 1);
  harness.Advance(100 * kMs);
  harness.EndAttempt(1, *to, Status::kOk, Role::kReplica,
                     harness.now_ms() - 100);  // has not advanced
  bool sent = false;
  for (RequestId id = 2; id < 12 && !sent; ++id) {
    sent = SentTo(harness.Arrive(id, kBoundedRead), id).has_value() ||
           SentTo(harness.Advance(200 * kMs), id).has_value();
  }
  EXPECT_TRUE(sent);
}

}  // namespace
}  // namespace tulipyoke
