// Budgets that are refilled in small amounts.
#include "src/limits/token_budget.hpp"

#include <gtest/gtest.h>

#include "tests/router_harness.hpp"

namespace tulipyoke::limits {
namespace {

TEST(TokenBudget, SpendsNoMoreThanItHas) {
  TokenBudget budget(1, 2);
  EXPECT_TRUE(budget.TryTake(1));
  EXPECT_FALSE(budget.TryTake(0.5));
  budget.Refill(0.5);
  EXPECT_TRUE(budget.TryTake(0.5));
  budget.Refill(100);
  EXPECT_TRUE(budget.TryTake(2));
  EXPECT_FALSE(budget.TryTake(0.1));
}

}  // namespace
}  // namespace tulipyoke::limits
