// The Router beside other processes of the same router: sessions whose writes are told to it.
#include <gtest/gtest.h>

#include "tests/router_harness.hpp"

namespace tulipyoke {
namespace {

// Guards against a stale read while the writes of sessions are not known, or never will be.
TEST(SessionSync, UnknownSessionsReadThePresent) {
  RouterHarness scene;
  ReportPositions(scene, 30 * kMs, 30 * kMs);
  scene.Handle(SessionSync{.complete = false});
  EXPECT_FALSE(SentTo(scene.Arrive(1, kSessionRead, 77), 1));
  scene.Handle(SessionSync{.complete = true});
  EXPECT_TRUE(SentTo(scene.Arrive(2, kSessionRead, 77), 2));
  scene.Handle(SessionSync{.complete = false});
  scene.Handle(SessionSync{.complete = true, .lost = true});
  EXPECT_FALSE(SentTo(scene.Arrive(3, kSessionRead, 77), 3));
}

// Guards against a write of a session, or of all that are not named, that the other process told in vain.
TEST(SessionSync, WritesOfAnotherProcessBindReads) {
  RouterHarness scene;
  ReportPositions(scene, 30 * kMs, 30 * kMs);
  const std::int64_t present = scene.now_ms();
  scene.Handle(SessionCommit{77, 0, present - 10});
  EXPECT_FALSE(SentTo(scene.Arrive(1, kSessionRead, 77), 1));
  EXPECT_TRUE(SentTo(scene.Arrive(2, kSessionRead, 78), 2));
  ASSERT_EQ(scene.router().known_commits(77).size(), 1u);
  EXPECT_EQ(scene.router().known_commits(77)[0].position_ms, present - 10);
  scene.Handle(SessionCommit{0, 0, present - 10});
  EXPECT_FALSE(SentTo(scene.Arrive(3, kSessionRead, 79), 3));
  EXPECT_EQ(scene.router().known_commits(0).size(), 2u);  // the session and the group's floor
}

}  // namespace
}  // namespace tulipyoke
