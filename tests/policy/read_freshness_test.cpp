// Reads that need a position: bounded and session reads.
#include <gtest/gtest.h>

#include <limits>
#include <vector>

#include "tests/router_harness.hpp"

namespace tulipyoke {
namespace {

TEST(ReadFreshness, ANewRouterChecksReplicasAndParksBoundedReads) {
  RouterHarness scene;
  EXPECT_FALSE(SentTo(scene.Arrive(1, kBoundedRead), 1));
  const auto shown = scene.ReportHealthCheck(2, 100 * kMs);
  EXPECT_EQ(SentTo(shown, 1), 2u);
}

TEST(ReadFreshness, WithoutGuardsAReadIsParkedUntilThePositionIsSeen) {
  RouterHarness scene;
  ReportPositions(scene, 600 * kMs, 700 * kMs);
  const auto held = scene.Arrive(1, kBoundedRead);
  EXPECT_FALSE(SentTo(held, 1));
  EXPECT_EQ(ActionsOfType<CheckHealth>(held).size(), 1u);  // one health check, of the replica it waits on
  EXPECT_FALSE(SentTo(scene.Advance(150 * kMs), 1));       // prediction alone is not enough
  EXPECT_EQ(SentTo(scene.ReportHealthCheck(2, 50 * kMs), 1), 2u);
}

TEST(ReadFreshness, OneHealthCheckServesAllParkedReads) {
  RouterHarness scene;
  ReportPositions(scene, 600 * kMs, 5 * kSecond);
  std::size_t probes = 0;
  for (RequestId id = 1; id <= 5; ++id)
    probes += ActionsOfType<CheckHealth>(scene.Arrive(id, kBoundedRead)).size();
  EXPECT_EQ(probes, 1u);
  EXPECT_EQ(ActionsOfType<Send>(scene.ReportHealthCheck(2, 0)).size(), 5u);
}

TEST(ReadFreshness, WaitingGuardsAreSentReadsWithinTheirWait) {
  RouterHarness scene(WaitingGuardSettings());
  ReportPositions(scene, 530 * kMs, 900 * kMs);
  EXPECT_EQ(SentTo(scene.Arrive(1, kBoundedRead), 1), 2u);
}

// A router that is asked seldom has only old showings; the server's own check makes the prediction safe.
TEST(ReadFreshness, RejectingGuardsAreSentOneReadAtATimeOnPrediction) {
  Settings s = TestSettings();
  s.staleness_guard = StalenessGuard::kReject;
  s.token_mode = TokenMode::kSentByClient;
  RouterHarness scene(s);
  ReportPositions(scene, 520 * kMs, 3 * kSecond);
  EXPECT_FALSE(SentTo(ArriveWithToken(scene, 1, 500), 1));
  scene.Advance(30 * kMs);  // the prediction has run out, though nothing new was shown
  EXPECT_EQ(SentTo(ArriveWithToken(scene, 2, 530), 2), 2u);
  EXPECT_FALSE(SentTo(ArriveWithToken(scene, 3, 530), 3));
}

TEST(ReadFreshness, SessionNeedsItsOwnWrite) {
  RouterHarness scene;
  ReportPositions(scene);
  scene.Arrive(1, kKeyedWrite, 77);
  scene.Advance(20 * kMs);
  scene.EndAttempt(1, 1, Status::kOk, Role::kPrimary, scene.now_ms());
  scene.Advance(20 * kMs);
  EXPECT_FALSE(SentTo(scene.Arrive(2, kSessionRead, 77), 2));
  EXPECT_TRUE(SentTo(scene.Arrive(3, kSessionRead, 78), 3));  // another session: any replica
  EXPECT_FALSE(SentTo(scene.ReportHealthCheck(2, 21 * kMs), 2));
  EXPECT_FALSE(SentTo(scene.ReportHealthCheck(3, 21 * kMs), 2));
  scene.ReportHealthCheck(3, 10 * kMs);
  scene.ReportHealthCheck(2, 30 * kMs);
  // It may wait on 2 in vain; once the prediction has failed it is scored anew.
  std::vector<Action> after = scene.Advance(60 * kMs);
  const auto late = scene.ReportHealthCheck(3, 0);
  after.insert(after.end(), late.begin(), late.end());
  EXPECT_EQ(SentTo(after, 2).value_or(3), 3u);
}

// A write may go through after its request has ended here; its session must see it all the same.
TEST(ReadFreshness, CommitOfAnEndedRequestCounts) {
  RouterHarness scene;
  ReportPositions(scene);
  scene.Arrive(1, kKeyedWrite, 77);
  scene.Handle(RequestCancelled{1});
  scene.Advance(20 * kMs);
  scene.EndAttempt(1, 1, Status::kOk, Role::kPrimary, scene.now_ms());
  EXPECT_FALSE(SentTo(scene.Arrive(2, kSessionRead, 77), 2));
}

TEST(ReadFreshness, CarriedTokenRoundsTheCommitUp) {
  Settings s = TestSettings();
  s.token_mode = TokenMode::kSentByClient;
  RouterHarness scene(s);
  ReportPositions(scene, 100 * kMs, 100 * kMs);
  EXPECT_FALSE(SentTo(ArriveWithToken(scene, 1, 100),
                      1));  // exactly as old as shown: the float could have been rounded
  EXPECT_TRUE(SentTo(ArriveWithToken(scene, 2, 101), 2));
}

TEST(ReadFreshness, ImpossiblePositionsAreIgnored) {
  for (const float x0 : {1e30F, -5.0F, 0.0F, std::numeric_limits<float>::quiet_NaN(), 101.0F}) {
    RouterHarness scene;
    HealthCheckEnded e;
    e.server = 2;
    e.report = {x0, 0.0F};
    scene.Handle(e);
    EXPECT_FALSE(SentTo(scene.Arrive(1, kBoundedRead), 1)) << x0;
  }
}

// A rate seen at zero must not keep a replica from being tried for ever.
TEST(ReadFreshness, ARateNotConfirmedFadesToOne) {
  RouterHarness scene(WaitingGuardSettings());
  scene.UpdateList(EndpointListKind::kFull, {ReadyEntry(1, true), ReadyEntry(2)});
  ReportPositions(scene);
  const auto to = SentTo(scene.Arrive(1, kAnyRead), 1);
  scene.Advance(100 * kMs);
  scene.EndAttempt(1, *to, Status::kOk, Role::kReplica, scene.now_ms() - 100);  // stands still
  bool sent = false;
  for (RequestId id = 2; id < 12 && !sent; ++id) {
    sent = SentTo(scene.Arrive(id, kBoundedRead), id).has_value() ||
           SentTo(scene.Advance(200 * kMs), id).has_value();
  }
  EXPECT_TRUE(sent);
}

}  // namespace
}  // namespace tulipyoke
