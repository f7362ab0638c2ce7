// Tests of the attempts in flight at one server.
#include "src/estimates/in_flight.hpp"

#include <gtest/gtest.h>

#include "tests/router_harness.hpp"

namespace tulipyoke::estimates {
namespace {

TEST(InFlightAttempts, AttemptIsRemovedOnce) {
  InFlightAttempts attempts;
  attempts.Add({.id = 1, .attempt = 0, .sent = 5});
  attempts.Add({.id = 1, .attempt = 1, .sent = 9, .freshness_check = true});
  EXPECT_TRUE(attempts.HasFreshnessCheck());
  EXPECT_TRUE(attempts.HasActiveSentSince(9));
  EXPECT_FALSE(attempts.HasActiveSentSince(10));
  const auto removed = attempts.Remove(1, 1);
  ASSERT_TRUE(removed);
  EXPECT_EQ(removed->sent, 9);
  EXPECT_FALSE(attempts.Remove(1, 1));
  EXPECT_FALSE(attempts.HasFreshnessCheck());
  EXPECT_EQ(attempts.size(), 1u);
}

TEST(InFlightAttempts, CancelledAttemptIsNotActive) {
  InFlightAttempts attempts;
  attempts.Add({.id = 1, .sent = 5, .cancelled = true});
  EXPECT_FALSE(attempts.HasActiveSentSince(5));
}

}  // namespace
}  // namespace tulipyoke::estimates
