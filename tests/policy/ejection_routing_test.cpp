// Tests how ejection and reinstatement of servers affect routing.
#include <gtest/gtest.h>

#include <map>
#include <optional>

#include "tests/router_harness.hpp"

namespace tulipyoke {
namespace {

TEST(OutlierDetection, UnresponsiveServerIsEjected) {
  RouterHarness harness;
  ReportPositions(harness);
  const auto unresponsive = *SentTo(harness.Arrive(1, kAnyRead), 1);
  harness.Advance(390 * kMs);
  const auto after =
      harness.EndAttempt(1, unresponsive, Status::kTimeout, Role::kUnknown, {}, -1, true, 390 * kMs);
  EXPECT_EQ(ActionsOfType<CheckHealth>(after).size(), 1u);
  for (RequestId id = 2; id < 8; ++id) EXPECT_NE(SentTo(harness.Arrive(id, kAnyRead), id), unresponsive);
}

// A timeout that is due to a short client deadline says nothing about the server.
TEST(OutlierDetection, TimeoutOfAShortClientDeadlineDoesNotEject) {
  RouterHarness harness;
  ReportPositions(harness);
  const auto to = *SentTo(harness.Arrive(1, kAnyRead), 1);
  harness.Advance(30 * kMs);
  const auto after = harness.EndAttempt(1, to, Status::kTimeout, Role::kUnknown, {}, -1, true, 30 * kMs);
  EXPECT_TRUE(ActionsOfType<CheckHealth>(after).empty());
}

TEST(OutlierDetection, EjectedServerGetsOneTrialRequestAfterAHealthCheck) {
  RouterHarness harness;
  ReportPositions(harness);
  harness.Arrive(1, kNonIdempotentWrite);
  harness.Advance(10 * kMs);
  harness.EndAttempt(1, 1, Status::kReset);
  harness.FailHealthCheck(1);
  EXPECT_FALSE(SentTo(harness.Arrive(2, kNonIdempotentWrite), 2));
  harness.Advance(120 * kMs);
  harness.Arrive(3, kNonIdempotentWrite);
  const auto sent = ActionsOfType<Send>(harness.ReportHealthCheck(1, 0, true));
  EXPECT_EQ(sent.size(), 1u);
}

// Guards against ejecting one server after another when connections break at all of them alike. Also guards
// against routing more and more requests to a server that fails at once and so looks idle; it is tried again
// after a while.
TEST(OutlierDetection, ServerIsEjectedByItsFailureShare) {
  RouterHarness harness;
  RequestId id = 0;
  std::map<ServerId, int> sends;
  const auto run = [&](int count, auto status) {
    sends.clear();
    for (int i = 0; i < count; ++i, harness.Advance(20 * kMs)) {
      const RequestId next = ++id;
      std::optional<ServerId> to = SentTo(harness.Arrive(next, kAnyRead), next);
      for (int tries = 0; to; ++tries) {
        ++sends[*to];
        to = SentTo(harness.EndAttempt(next, *to, status(*to, tries), Role::kReplica), next);
      }
      harness.ReportHealthCheck(2, 0);
      harness.ReportHealthCheck(3, 0);
    }
  };
  run(100, [&](ServerId, int tries) { return id % 3 == 0 && tries == 0 ? Status::kReset : Status::kOk; });
  EXPECT_GE(sends[2], 30);
  EXPECT_GE(sends[3], 30);
  ServerId failing = 0;
  run(100, [&](ServerId to, int) {
    if (failing == 0) failing = to;
    return to == failing ? Status::kError : Status::kOk;
  });
  EXPECT_LE(sends[failing], 30);
  EXPECT_GE(sends[failing == 2 ? 3 : 2], 70);
}

}  // namespace
}  // namespace tulipyoke
