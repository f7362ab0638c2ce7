// Admission of reads and retries under overload.
#include <gtest/gtest.h>

#include <set>
#include <vector>

#include "tests/router_harness.hpp"

namespace tulipyoke {
namespace {

// Servers that are full stay so while each request is tried all round: what was rejected is charged too.
TEST(Overload, RetriesAfterOverloadAreLimitedToAShare) {
  Settings s = TestSettings();
  s.router_count = 100;
  RouterHarness scene(s);
  std::size_t sends = 0;
  for (RequestId id = 1; id <= 40; ++id) {
    std::vector<Send> last = ActionsOfType<Send>(scene.Arrive(id, kAnyRead));
    while (!last.empty()) {
      ++sends;
      last = ActionsOfType<Send>(scene.EndAttempt(id, last.front().server, Status::kOverloaded));
    }
    scene.Advance(60 * kMs);
  }
  EXPECT_LE(sends, 50u);
}

TEST(Overload, AnOverloadedServerIsLeftAlone) {
  RouterHarness scene;
  ReportPositions(scene);
  std::size_t sends = 0;
  for (RequestId id = 1; id <= 30; ++id) {
    const auto actions = scene.Arrive(id, kNonIdempotentWrite);
    sends += ActionsOfType<Send>(actions).size();
    if (SentTo(actions, id))
      sends += ActionsOfType<Send>(scene.EndAttempt(id, 1, Status::kOverloaded)).size();
  }
  EXPECT_LE(sends, 3u);
}

// Backing off is drawn: routers rejected together do not come back together.
TEST(Overload, BackoffIsSpreadOverRouters) {
  std::set<Micros> moments;
  for (std::uint64_t seed = 1; seed <= 20; ++seed) {
    RouterHarness scene(TestSettings(), seed);
    scene.UpdateList(EndpointListKind::kFull, {ReadyEntry(1, true), ReadyEntry(2)});
    scene.Arrive(1, kAnyRead);
    scene.EndAttempt(1, 2, Status::kOverloaded);
    Micros waited = 0;
    for (RequestId id = 2; !SentTo(scene.Arrive(id, kAnyRead), id); ++id, waited += 5 * kMs) {
      scene.Advance(5 * kMs);
      ASSERT_LT(waited, kSecond);
    }
    moments.insert(waited);
  }
  EXPECT_GE(moments.size(), 5u);
}

// Too many for a whole group: a share of its reads is rejected at once, so that the others are in time; when
// answers are in time again, so is every read.
TEST(Overload, AGroupThatIsLateGetsAShareOfItsReads) {
  RouterHarness scene;
  ReportPositions(scene);
  const auto run = [&](RequestId from, Micros takes) {
    int sent = 0;
    for (RequestId id = from; id < from + 200; ++id) {
      const auto to = SentTo(scene.Arrive(id, kAnyRead), id);
      if (!to) continue;
      sent += *to != 1u;
      scene.Advance(5 * kMs);
      scene.EndAttempt(id, *to, Status::kOk, *to == 1 ? Role::kPrimary : Role::kReplica, {}, -1, true,
                       *to == 1 ? 20 * kMs : takes);
    }
    return sent;
  };
  EXPECT_GE(run(1000, 30 * kMs), 199);
  EXPECT_LE(run(2000, 390 * kMs), 150);
  run(3000, 30 * kMs);
  EXPECT_GE(run(4000, 30 * kMs), 195);
}

// A server that takes work and answers nothing shows it in its queue: where answers were late, it is asked
// first, and a queue that leaves no time sends the read elsewhere. A calm group is not asked.
TEST(Overload, AQueueThatLeavesNoTimeIsPassedOver) {
  Settings s = TestSettings();
  s.report_fields = {"x0", "x1", "queue", "inflight"};
  RouterHarness scene(s);
  const auto report = [&](ServerId id, float queue) {
    HealthCheckEnded e;
    e.server = id;
    e.report = {static_cast<float>(static_cast<double>(scene.now()) / 1e6), 0.0F, queue, queue + 2};
    return scene.Handle(e);
  };
  scene.Advance(80 * kMs);
  report(2, 0);
  report(3, 0);
  scene.Advance(kSecond);
  EXPECT_TRUE(SentTo(scene.Arrive(1, kAnyRead), 1));  // calm: sent without a look
  scene.EndAttempt(1, 3, Status::kOk, Role::kReplica, {}, -1, true, 390 * kMs);
  for (RequestId id = 10; id < 20; ++id) {
    scene.Advance(kSecond);
    const auto probes = ActionsOfType<CheckHealth>(scene.Arrive(id, kAnyRead));
    if (probes.empty()) continue;  // one of the few rejected for lateness
    auto sent = SentTo(report(probes.front().server, probes.front().server == 2 ? 40.0F : 0.0F), id);
    if (probes.front().server == 2) sent = SentTo(report(3, 0), id);
    EXPECT_EQ(sent, 3u);
    scene.EndAttempt(id, 3, Status::kOk, Role::kReplica, {}, -1, true, 390 * kMs);
  }
}

// A bounded read that is shed for overload keeps off the primary where no replica showed its bound of late.
TEST(Overload, ShedBoundedReadsStayOffThePrimaryWhileAllReplicasLag) {
  for (const bool lag : {false, true}) {
    RouterHarness scene;
    int on_primary = 0;
    for (RequestId id = 1; id <= 400; ++id) {
      if (id % 20 == 1) ReportPositions(scene, lag ? 5 * kSecond : 0, lag ? 5 * kSecond : 0);
      const bool bounded = id > 100;
      const auto to = SentTo(scene.Arrive(id, bounded ? kBoundedRead : kAnyRead), id);
      on_primary += bounded && to == 1u;
      if (to) {
        scene.EndAttempt(id, *to, Status::kOk, *to == 1 ? Role::kPrimary : Role::kReplica, {}, -1, true,
                         *to == 1 ? 20 * kMs : 390 * kMs);
      }
    }
    EXPECT_EQ(on_primary > 0, !lag);
  }
}

// Where every replica stalls and rejects the read, the primary's headroom is better than a rejection; the
// replica is always asked first, and a slow primary is spared.
TEST(PrimaryHeadroom, ThePrimaryServesWhatReplicasRejected) {
  Settings s = TestSettings();
  s.staleness_guard = StalenessGuard::kReject;
  int served = 0, after_slow = 0;
  for (std::uint64_t seed = 1; seed <= 40; ++seed) {
    for (const bool slow : {false, true}) {
      RouterHarness scene(s, seed);
      ReportPositions(scene, 5 * kSecond, 5 * kSecond);
      for (RequestId id = 100; slow && id < 120; ++id) {
        scene.Arrive(id, kNonIdempotentWrite);
        scene.EndAttempt(id, 1, Status::kOk, Role::kPrimary, scene.now_ms(), -1, true, 390 * kMs);
      }
      const auto first = SentTo(scene.Arrive(1, kBoundedRead), 1);
      ASSERT_TRUE(first && *first != 1u);
      const auto next =
          scene.EndAttempt(1, *first, Status::kStaleOrWrongRole, Role::kReplica, scene.now_ms() - 5000);
      (slow ? after_slow : served) += SentTo(next, 1) == 1u;
    }
  }
  EXPECT_GE(served, 4);
  EXPECT_LE(after_slow, 1);
}

}  // namespace
}  // namespace tulipyoke
