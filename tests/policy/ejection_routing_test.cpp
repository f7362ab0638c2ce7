// Ejection and reinstatement of servers.
#include <gtest/gtest.h>

#include <map>
#include <optional>

#include "tests/router_harness.hpp"

namespace tulipyoke {
namespace {

TEST(OutlierDetection, ASilentServerIsEjected) {
  RouterHarness scene;
  ReportPositions(scene);
  const auto silent = *SentTo(scene.Arrive(1, kAnyRead), 1);
  scene.Advance(390 * kMs);
  const auto after = scene.EndAttempt(1, silent, Status::kTimeout, Role::kUnknown, {}, -1, true, 390 * kMs);
  EXPECT_EQ(ActionsOfType<CheckHealth>(after).size(), 1u);
  for (RequestId id = 2; id < 8; ++id) EXPECT_NE(SentTo(scene.Arrive(id, kAnyRead), id), silent);
}

// A client with little time tells nothing of the server.
TEST(OutlierDetection, AShortTimeOutIsNoSignOfTheServer) {
  RouterHarness scene;
  ReportPositions(scene);
  const auto to = *SentTo(scene.Arrive(1, kAnyRead), 1);
  scene.Advance(30 * kMs);
  const auto after = scene.EndAttempt(1, to, Status::kTimeout, Role::kUnknown, {}, -1, true, 30 * kMs);
  EXPECT_TRUE(ActionsOfType<CheckHealth>(after).empty());
}

TEST(OutlierDetection, AnEjectedServerIsTriedByOneRequestAfterAHealthCheck) {
  RouterHarness scene;
  ReportPositions(scene);
  scene.Arrive(1, kNonIdempotentWrite);
  scene.Advance(10 * kMs);
  scene.EndAttempt(1, 1, Status::kReset);
  scene.FailHealthCheck(1);
  EXPECT_FALSE(SentTo(scene.Arrive(2, kNonIdempotentWrite), 2));
  scene.Advance(120 * kMs);
  scene.Arrive(3, kNonIdempotentWrite);
  const auto sent = ActionsOfType<Send>(scene.ReportHealthCheck(1, 0, true));
  EXPECT_EQ(sent.size(), 1u);
}

// Guards against leaving out one server after the other where connections break at all of them alike, and
// against sending on and on to one that fails at once, which looks idle: it is tried again after a while.
TEST(OutlierDetection, AServerIsJudgedByItsShareOfFailures) {
  RouterHarness s;
  RequestId id = 0;
  std::map<ServerId, int> sends;
  const auto play = [&](int count, auto status) {
    sends.clear();
    for (int i = 0; i < count; ++i, s.Advance(20 * kMs)) {
      const RequestId next = ++id;
      std::optional<ServerId> to = SentTo(s.Arrive(next, kAnyRead), next);
      for (int tries = 0; to; ++tries) {
        ++sends[*to];
        to = SentTo(s.EndAttempt(next, *to, status(*to, tries), Role::kReplica), next);
      }
      s.ReportHealthCheck(2, 0);
      s.ReportHealthCheck(3, 0);
    }
  };
  play(100, [&](ServerId, int tries) { return id % 3 == 0 && tries == 0 ? Status::kReset : Status::kOk; });
  EXPECT_GE(sends[2], 30);
  EXPECT_GE(sends[3], 30);
  ServerId bad = 0;
  play(100, [&](ServerId to, int) {
    if (bad == 0) bad = to;
    return to == bad ? Status::kError : Status::kOk;
  });
  EXPECT_LE(sends[bad], 30);
  EXPECT_GE(sends[bad == 2 ? 3 : 2], 70);
}

}  // namespace
}  // namespace tulipyoke
