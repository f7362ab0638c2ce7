// What a server that warms up is sent.
#include "src/limits/slow_start_budget.hpp"

#include <gtest/gtest.h>

#include "tests/scene.hpp"

namespace tulipyoke::limits {
namespace {

constexpr Micros kNow = 100 * kSecond;

TEST(SlowStartBudget, CapacityGrowsOverTheWindow) {
  const Settings settings = TestSettings();  // a fifth at first, all after 10 s
  EXPECT_DOUBLE_EQ(CapacityShare(settings, kNow, kNow), 0.2);
  EXPECT_DOUBLE_EQ(CapacityShare(settings, kNow, kNow + 5 * kSecond), 0.6);
  EXPECT_DOUBLE_EQ(CapacityShare(settings, kNow, kNow + 50 * kSecond), 1);
  EXPECT_DOUBLE_EQ(CapacityShare(settings, -1, kNow), 1);
}

TEST(SlowStartBudget, TheQuotasAreSharedEvenlyByTheServers) {
  Settings settings = TestSettings();
  EXPECT_DOUBLE_EQ(QuotaRatePerServer(settings, 4), 0);
  settings.tenants = {{"first", 300, 0.5}, {"second", 100, 0.5}};
  EXPECT_DOUBLE_EQ(QuotaRatePerServer(settings, 4), 100e-6);
  EXPECT_DOUBLE_EQ(QuotaRatePerServer(settings, 0), 400e-6);
}

TEST(SlowStartBudget, TheBudgetIsThatOfOneWindow) {
  Settings settings = TestSettings();  // overloaded by twice its share within a second
  settings.router_count = 1;
  SlowStartBudget budget;
  // A warm server finishes half of the time's work for this router; a fifth of that, times 4/3, is 133 ms.
  const SlowStartBudget::Server server{.capacity_share = 0.2, .warm_throughput = 0.5, .quota_rate = 0};
  const auto none = [] { return 0.0; };
  int sent = 0;
  while (sent < 100 && budget.Admits(settings, kNow, 20 * kMs, server, none)) {
    budget.Spend(kNow, 20 * kMs);
    ++sent;
  }
  EXPECT_EQ(sent, 7);
  EXPECT_FALSE(budget.Admits(settings, kNow + kSecond, 20 * kMs, server, none));
  EXPECT_TRUE(budget.Admits(settings, kNow + kSecond + 1, 20 * kMs, server, none));
}

// Of many routers that know nothing, as many as the even part says may send one.
TEST(SlowStartBudget, APartOfOneRequestIsDrawn) {
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
