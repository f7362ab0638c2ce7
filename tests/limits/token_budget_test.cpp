// Tests of the token bucket.
#include "src/limits/token_budget.hpp"

#include <gtest/gtest.h>

#include "tests/router_harness.hpp"

namespace tulipyoke::limits {
namespace {

TEST(TokenBudget, NeverSpendsMoreThanItHolds) {
  TokenBudget budget(1, 2);
  EXPECT_TRUE(budget.TryConsume(1));
  EXPECT_FALSE(budget.TryConsume(0.5));
  budget.Refill(0.5);
  EXPECT_TRUE(budget.TryConsume(0.5));
  budget.Refill(100);
  EXPECT_TRUE(budget.TryConsume(2));
  EXPECT_FALSE(budget.TryConsume(0.1));
}

}  // namespace
}  // namespace tulipyoke::limits
