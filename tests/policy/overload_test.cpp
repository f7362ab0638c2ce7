// Tests admission of reads and retries under overload.
#include <gtest/gtest.h>

#include <set>
#include <vector>

#include "tests/router_harness.hpp"

namespace tulipyoke {
namespace {

// Guards against retries that keep overloaded servers overloaded: retries after a rejection count against the
// budget too.
TEST(Overload, RetriesAfterOverloadAreLimitedByTheBudget) {
  Settings s = TestSettings();
  s.router_count = 100;
  RouterHarness harness(s);
  std::size_t sends = 0;
  for (RequestId id = 1; id <= 40; ++id) {
    std::vector<Send> last = ActionsOfType<Send>(harness.Arrive(id, kAnyRead));
    while (!last.empty()) {
      ++sends;
      last = ActionsOfType<Send>(harness.EndAttempt(id, last.front().server, Status::kOverloaded));
    }
    harness.Advance(60 * kMs);
  }
  EXPECT_LE(sends, 50u);
}

TEST(Overload, OverloadedServerIsNotSentMoreRequests) {
  RouterHarness harness;
  ReportPositions(harness);
  std::size_t sends = 0;
  for (RequestId id = 1; id <= 30; ++id) {
    const auto actions = harness.Arrive(id, kNonIdempotentWrite);
    sends += ActionsOfType<Send>(actions).size();
    if (SentTo(actions, id))
      sends += ActionsOfType<Send>(harness.EndAttempt(id, 1, Status::kOverloaded)).size();
  }
  EXPECT_LE(sends, 3u);
}

// The backoff is randomized, so that routers rejected together do not retry together.
TEST(Overload, BackoffIsRandomizedPerRouter) {
  std::set<Micros> backoffs;
  for (std::uint64_t seed = 1; seed <= 20; ++seed) {
    RouterHarness harness(TestSettings(), seed);
    harness.UpdateList(EndpointListKind::kFull, {ReadyEntry(1, true), ReadyEntry(2)});
    harness.Arrive(1, kAnyRead);
    harness.EndAttempt(1, 2, Status::kOverloaded);
    Micros waited = 0;
    for (RequestId id = 2; !SentTo(harness.Arrive(id, kAnyRead), id); ++id, waited += 5 * kMs) {
      harness.Advance(5 * kMs);
      ASSERT_LT(waited, kSecond);
    }
    backoffs.insert(waited);
  }
  EXPECT_GE(backoffs.size(), 5u);
}

// An overloaded group rejects a share of its reads at once so that the others are in time. When responses are
// in time again, it admits all reads again.
TEST(Overload, OverloadedGroupGetsAShareOfItsReads) {
  RouterHarness harness;
  ReportPositions(harness);
  const auto run = [&](RequestId from, Micros latency) {
    int sent = 0;
    for (RequestId id = from; id < from + 200; ++id) {
      const auto to = SentTo(harness.Arrive(id, kAnyRead), id);
      if (!to) continue;
      sent += *to != 1u;
      harness.Advance(5 * kMs);
      harness.EndAttempt(id, *to, Status::kOk, *to == 1 ? Role::kPrimary : Role::kReplica, {}, -1, true,
                         *to == 1 ? 20 * kMs : latency);
    }
    return sent;
  };
  EXPECT_GE(run(1000, 30 * kMs), 199);
  EXPECT_LE(run(2000, 390 * kMs), 150);
  run(3000, 30 * kMs);
  EXPECT_GE(run(4000, 30 * kMs), 195);
}

// A server that accepts requests but does not respond is known by its queue. After late responses a server's
// queue is checked first, and a read skips servers whose queue leaves no time. Without late responses there
// is no check.
TEST(Overload, ServerWithATooLongQueueIsSkipped) {
  Settings s = TestSettings();
  s.report_fields = {"x0", "x1", "queue", "inflight"};
  RouterHarness harness(s);
  const auto report = [&](ServerId id, float queue) {
    HealthCheckEnded e;
    e.server = id;
    e.report = {static_cast<float>(static_cast<double>(harness.now()) / 1e6), 0.0F, queue, queue + 2};
    return harness.Handle(e);
  };
  harness.Advance(80 * kMs);
  report(2, 0);
  report(3, 0);
  harness.Advance(kSecond);
  EXPECT_TRUE(SentTo(harness.Arrive(1, kAnyRead), 1));  // no late responses yet: sent without a queue check
  harness.EndAttempt(1, 3, Status::kOk, Role::kReplica, {}, -1, true, 390 * kMs);
  for (RequestId id = 10; id < 20; ++id) {
    harness.Advance(kSecond);
    const auto health_checks = ActionsOfType<CheckHealth>(harness.Arrive(id, kAnyRead));
    if (health_checks.empty()) continue;  // one of the few that admission control rejected
    auto sent =
        SentTo(report(health_checks.front().server, health_checks.front().server == 2 ? 40.0F : 0.0F), id);
    if (health_checks.front().server == 2) sent = SentTo(report(3, 0), id);
    EXPECT_EQ(sent, 3u);
    harness.EndAttempt(id, 3, Status::kOk, Role::kReplica, {}, -1, true, 390 * kMs);
  }
}

// A bounded read that is shed does not use the primary unless a replica was recently within its bound.
TEST(Overload, ShedBoundedReadsAvoidThePrimaryWhileAllReplicasLag) {
  for (const bool lag : {false, true}) {
    RouterHarness harness;
    int sent_to_primary = 0;
    for (RequestId id = 1; id <= 400; ++id) {
      if (id % 20 == 1) ReportPositions(harness, lag ? 5 * kSecond : 0, lag ? 5 * kSecond : 0);
      const bool bounded = id > 100;
      const auto to = SentTo(harness.Arrive(id, bounded ? kBoundedRead : kAnyRead), id);
      sent_to_primary += bounded && to == 1u;
      if (to) {
        harness.EndAttempt(id, *to, Status::kOk, *to == 1 ? Role::kPrimary : Role::kReplica, {}, -1, true,
                           *to == 1 ? 20 * kMs : 390 * kMs);
      }
    }
    EXPECT_EQ(sent_to_primary > 0, !lag);
  }
}

// If all replicas lag and reject a read, the primary's headroom is better than a rejection. The read always
// tries a replica first, and a slow primary gets fewer such reads.
TEST(PrimaryHeadroom, PrimaryServesReadsThatReplicasRejected) {
  Settings s = TestSettings();
  s.staleness_guard = StalenessGuard::kReject;
  int served = 0, after_slow = 0;
  for (std::uint64_t seed = 1; seed <= 40; ++seed) {
    for (const bool slow : {false, true}) {
      RouterHarness harness(s, seed);
      ReportPositions(harness, 5 * kSecond, 5 * kSecond);
      for (RequestId id = 100; slow && id < 120; ++id) {
        harness.Arrive(id, kNonIdempotentWrite);
        harness.EndAttempt(id, 1, Status::kOk, Role::kPrimary, harness.now_ms(), -1, true, 390 * kMs);
      }
      const auto first = SentTo(harness.Arrive(1, kBoundedRead), 1);
      ASSERT_TRUE(first && *first != 1u);
      const auto next =
          harness.EndAttempt(1, *first, Status::kStaleOrWrongRole, Role::kReplica, harness.now_ms() - 5000);
      (slow ? after_slow : served) += SentTo(next, 1) == 1u;
    }
  }
  EXPECT_GE(served, 4);
  EXPECT_LE(after_slow, 1);
}

}  // namespace
}  // namespace tulipyoke
