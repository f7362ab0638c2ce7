// What one router of hundreds does: it sees little, and what it costs servers is paid by all of them.
#include <gtest/gtest.h>

#include <set>

#include "src/sessions/commits.hpp"
#include "tests/scene.hpp"

namespace tulipyoke {
namespace {

Settings FleetSettings() {
  Settings s = TestSettings();
  s.guards = Guards::kHold;
  s.catch_up_wait = 20 * kMs;
  s.listed_role = ListedRole::kNone;
  s.gateways = 300;
  return s;
}

// Guards against hundreds of routers that all ask all servers at their start: one may ask one server then.
TEST(Fleet, ProbesAtOnceAreSharedByAllRouters) {
  Scene scene(FleetSettings());
  std::size_t probes = Only<Probe>(scene.Arrive(1, kFreshRead)).size();
  for (int i = 0; i < 10; ++i) probes += Only<Probe>(scene.Pass(50 * kMs)).size();
  EXPECT_EQ(probes, 1u);
}

// Guards against writes refused because no probe was left to find their primary: the members are tried in
// turn, each once, and what their answers told holds for the writes that follow.
TEST(Fleet, AWriteFindsItsPrimaryWhenNobodyCanBeAsked) {
  Scene scene(FleetSettings());
  const auto asked = Only<Probe>(scene.Arrive(1, kFreshRead));  // the one probe that there is
  ASSERT_EQ(asked.size(), 1u);
  scene.Probed(asked[0].server, 0, false);
  std::set<ServerId> tried;
  auto to = SentTo(scene.Arrive(2, kUnsafeWrite), 2);
  while (to && *to != 3) {
    EXPECT_TRUE(tried.insert(*to).second) << "a second try of " << *to;
    to = SentTo(scene.End(2, *to, Status::kMiss, Role::kReplica, scene.now_ms() - 10), 2);
  }
  ASSERT_EQ(to, 3u);
  scene.End(2, 3, Status::kOk, Role::kPrimary, scene.now_ms());
  EXPECT_EQ(SentTo(scene.Arrive(3, kUnsafeWrite), 3), 3u);
}

// Guards against bounded reads held for a probe that never comes: where servers check by themselves, one read
// goes ahead of what was shown, and only one.
TEST(Fleet, AReadIsItsOwnProbeOfAReplicaThatHasShownNothing) {
  Scene scene(FleetSettings());
  const auto first = SentTo(scene.Arrive(1, kBoundedRead), 1);
  const auto second = SentTo(scene.Arrive(2, kBoundedRead), 2);
  const auto third = SentTo(scene.Arrive(3, kBoundedRead), 3);
  ASSERT_TRUE(first && second && third);
  EXPECT_EQ((std::set<ServerId>{*first, *second, *third}).size(), 3u);
  EXPECT_FALSE(SentTo(scene.Arrive(4, kBoundedRead), 4));
  Settings off = FleetSettings();
  off.guards = Guards::kOff;
  Scene unguarded(off);
  EXPECT_FALSE(SentTo(unguarded.Arrive(1, kBoundedRead), 1));
}

// Guards against sessions that fill the memory, and against a stale read by forgetting.
TEST(Commits, ForgettingMergesOldOnesIntoTheFloorOfTheirGroup) {
  sessions::Commits commits;
  for (std::uint64_t key = 1; key <= 10000; ++key) commits.Note(key, 3, static_cast<Micros>(key));
  commits.Forget(9000);
  EXPECT_EQ(commits.size(), 1000u);
  EXPECT_EQ(commits.Needed(17, 3), 9000);
  EXPECT_EQ(commits.Needed(9500, 3), 9500);
  EXPECT_EQ(commits.Needed(17, 4), sessions::kNone);
}

}  // namespace
}  // namespace tulipyoke
