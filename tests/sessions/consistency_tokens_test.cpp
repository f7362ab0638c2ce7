// Tests which position the reads of a session require.
#include "src/sessions/consistency_tokens.hpp"

#include <gtest/gtest.h>

namespace tulipyoke::sessions {
namespace {

// Guards against a session that reads data older than its own write, and against mixing up sessions.
TEST(ConsistencyTokens, TheNewestCommitOfASessionIsRequired) {
  ConsistencyTokens tokens;
  EXPECT_EQ(tokens.Required(7, 0), kNoPosition);
  tokens.Record(7, 0, 500);
  tokens.Record(7, 0, 400);
  EXPECT_EQ(tokens.Required(7, 0), 500);
  EXPECT_EQ(tokens.Required(8, 0), kNoPosition);
}

// Key 0 stands for all sessions without a commit of their own.
TEST(ConsistencyTokens, FloorAppliesToSessionsWithoutACommit) {
  ConsistencyTokens tokens;
  tokens.Record(7, 0, 500);
  tokens.Record(0, 0, 900);
  EXPECT_EQ(tokens.Required(7, 0), 500);
  EXPECT_EQ(tokens.Required(8, 0), 900);
  EXPECT_EQ(tokens.Required(8, 1), kNoPosition);
}

// Guards against a commit that is passed on as an older one because it was rounded down to milliseconds.
TEST(ConsistencyTokens, KnownCommitsAreRoundedUpToMilliseconds) {
  ConsistencyTokens tokens;
  tokens.Record(7, 3, 1001);
  tokens.RaiseFloor(3, 5000);
  const auto one = tokens.KnownCommits(7);
  ASSERT_EQ(one.size(), 1u);
  EXPECT_EQ(one[0].key, 7u);
  EXPECT_EQ(one[0].group, 3);
  EXPECT_EQ(one[0].position_ms, 2);
  const auto all = tokens.KnownCommits(0);
  ASSERT_EQ(all.size(), 2u);
  EXPECT_EQ(all[1].key, 0u);
  EXPECT_EQ(all[1].position_ms, 5);
}

// Guards against unbounded memory use by sessions, and against stale reads after their commits are dropped.
TEST(ConsistencyTokens, CompactionMergesOldCommitsIntoTheGroupFloor) {
  ConsistencyTokens tokens;
  for (std::uint64_t key = 1; key <= 10000; ++key) tokens.Record(key, 3, static_cast<Micros>(key));
  tokens.Compact(9000);
  EXPECT_EQ(tokens.size(), 1000u);
  EXPECT_EQ(tokens.Required(17, 3), 9000);
  EXPECT_EQ(tokens.Required(9500, 3), 9500);
  EXPECT_EQ(tokens.Required(17, 4), kNoPosition);
}

}  // namespace
}  // namespace tulipyoke::sessions
