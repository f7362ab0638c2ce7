// Unit tests of SlowStart.
#include "src/policy/slow_start.hpp"

#include <gtest/gtest.h>

#include "tests/policy/policy_fixture.hpp"

namespace tulipyoke::policy {
namespace {

using SlowStartTest = PolicyTest;

TEST_F(SlowStartTest, OnlyAStartingServerIsLimited) {
  SlowStart slow_start(context_, table_);
  endpoints::Server& server = table_.At(2);
  for (int i = 0; i < 20; ++i) slow_start.RecordSend(server, kAnyRead, kNow);
  EXPECT_TRUE(slow_start.Admits(server, kAnyRead, kNow));
  server.slow_start_from = kNow;
  EXPECT_TRUE(slow_start.Admits(server, kAnyRead, kNow));
  slow_start.RecordSend(server, kAnyRead, kNow);
  EXPECT_FALSE(slow_start.Admits(server, kAnyRead, kNow));
}

}  // namespace
}  // namespace tulipyoke::policy
