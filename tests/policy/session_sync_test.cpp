// Tests the Router beside other processes of the same router, which report session commits to it.
#include <gtest/gtest.h>

#include "tests/router_harness.hpp"

namespace tulipyoke {
namespace {

// Guards against a stale read while session commits are not known, or are lost.
TEST(SessionSync, SessionReadsNeedThePresentPositionWhileCommitsAreUnknown) {
  RouterHarness harness;
  ReportPositions(harness, 30 * kMs, 30 * kMs);
  harness.Handle(SessionSync{.complete = false});
  EXPECT_FALSE(SentTo(harness.Arrive(1, kSessionRead, 77), 1));
  harness.Handle(SessionSync{.complete = true});
  EXPECT_TRUE(SentTo(harness.Arrive(2, kSessionRead, 77), 2));
  harness.Handle(SessionSync{.complete = false});
  harness.Handle(SessionSync{.complete = true, .lost = true});
  EXPECT_FALSE(SentTo(harness.Arrive(3, kSessionRead, 77), 3));
}

// Guards against ignoring a commit that another process reports, for one session or for all without an entry.
TEST(SessionSync, CommitsOfAnotherProcessApplyToReads) {
  RouterHarness harness;
  ReportPositions(harness, 30 * kMs, 30 * kMs);
  const std::int64_t present = harness.now_ms();
  harness.Handle(SessionCommit{77, 0, present - 10});
  EXPECT_FALSE(SentTo(harness.Arrive(1, kSessionRead, 77), 1));
  EXPECT_TRUE(SentTo(harness.Arrive(2, kSessionRead, 78), 2));
  ASSERT_EQ(harness.router().known_commits(77).size(), 1u);
  EXPECT_EQ(harness.router().known_commits(77)[0].position_ms, present - 10);
  harness.Handle(SessionCommit{0, 0, present - 10});
  EXPECT_FALSE(SentTo(harness.Arrive(3, kSessionRead, 79), 3));
  EXPECT_EQ(harness.router().known_commits(0).size(), 2u);  // the session's commit and the group's floor
}

}  // namespace
}  // namespace tulipyoke
