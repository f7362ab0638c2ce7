// Tests of the budget of a server in slow start.
#include "src/limits/slow_start_budget.hpp"

#include <gtest/gtest.h>

#include "tests/router_harness.hpp"

namespace tulipyoke::limits {
namespace {

constexpr Micros kNow = 100 * kSecond;

TEST(SlowStartBudget, CapacityGrowsOverTheWindow) {
  const Settings settings = TestSettings();  // a fifth of the capacity at first, all of it after 10 s
  EXPECT_DOUBLE_EQ(CapacityShare(settings, kNow, kNow), 0.2);
  EXPECT_DOUBLE_EQ(CapacityShare(settings, kNow, kNow + 5 * kSecond), 0.6);
  EXPECT_DOUBLE_EQ(CapacityShare(settings, kNow, kNow + 50 * kSecond), 1);
  EXPECT_DOUBLE_EQ(CapacityShare(settings, -1, kNow), 1);
}

TEST(SlowStartBudget, QuotasAreDividedEvenlyAmongServers) {
  Settings settings = TestSettings();
  EXPECT_DOUBLE_EQ(QuotaRatePerServer(settings, 4), 0);
  settings.tenants = {{"first", 300, 0.5}, {"second", 100, 0.5}};
  EXPECT_DOUBLE_EQ(QuotaRatePerServer(settings, 4), 100e-6);
  EXPECT_DOUBLE_EQ(QuotaRatePerServer(settings, 0), 400e-6);
}

TEST(SlowStartBudget, BudgetCoversOneWindow) {
  Settings settings = TestSettings();  // twice its capacity within a second overloads it
  settings.router_count = 1;
  SlowStartBudget budget;
  // A warm server spends half of its time on this router's work. A fifth of that, times 4/3, is 133 ms.
  const SlowStartBudget::Server server{.capacity_share = 0.2, .warm_throughput = 0.5, .quota_rate = 0};
  const auto zero_draw = [] { return 0.0; };
  int sent = 0;
  while (sent < 100 && budget.Admits(settings, kNow, 20 * kMs, server, zero_draw)) {
    budget.Spend(kNow, 20 * kMs);
    ++sent;
  }
  EXPECT_EQ(sent, 7);
  EXPECT_FALSE(budget.Admits(settings, kNow + kSecond, 20 * kMs, server, zero_draw));
  EXPECT_TRUE(budget.Admits(settings, kNow + kSecond + 1, 20 * kMs, server, zero_draw));
}

// Among many routers without observations, only as many may send a request as their total share allows.
TEST(SlowStartBudget, FractionOfARequestIsGrantedAtRandom) {
  Settings settings = TestSettings();
  settings.router_count = 200;
  const SlowStartBudget::Server server{.capacity_share = 0.2, .warm_throughput = 0, .quota_rate = 0};
  int admitted = 0;
  for (int i = 0; i < 200; ++i) {
    SlowStartBudget budget;
    admitted += budget.Admits(settings, kNow, 20 * kMs, server, [&] { return (i + 0.5) / 200; });
  }
  EXPECT_EQ(admitted, 1);
}

}  // namespace
}  // namespace tulipyoke::limits
