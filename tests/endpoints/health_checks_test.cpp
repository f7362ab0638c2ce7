// Tests of the interval and the budget of health checks.
#include "src/endpoints/health_checks.hpp"

#include <gtest/gtest.h>

#include "tests/endpoints/endpoint_fixture.hpp"

namespace tulipyoke::endpoints {
namespace {

using HealthChecksTest = EndpointFixture;

TEST_F(HealthChecksTest, ChecksRespectTheInterval) {
  Apply(EndpointListKind::kCached, {ReadyEntry(1)});
  Server& server = table_.At(1);
  EventScope scope{now_, actions_};
  checks_.Request(server, 50 * kMs, scope);
  checks_.Request(server, 0, scope);  // ignored: a check is in progress
  EXPECT_EQ(actions_.size(), 1u);
  server.health_check.in_progress = false;
  checks_.Request(server, 50 * kMs, scope);
  EXPECT_EQ(actions_.size(), 1u);
  scope.now += 50 * kMs;
  checks_.Request(server, 50 * kMs, scope);
  EXPECT_EQ(actions_.size(), 2u);
}

// Guards against hundreds of routers that check all servers at the same time.
TEST_F(HealthChecksTest, ChecksRespectTheBudget) {
  Apply(EndpointListKind::kCached, {ReadyEntry(1)});
  Server& server = table_.At(1);
  EventScope scope{now_, actions_};
  const auto request = [&] {
    server.health_check.in_progress = false;
    checks_.Request(server, 0, scope);
  };
  for (int i = 0; i < 40; ++i) request();
  EXPECT_EQ(actions_.size(), 20u);
  for (int i = 0; i < 6; ++i) checks_.Refill();  // each adds a fifth of a check
  request();
  request();
  EXPECT_EQ(actions_.size(), 21u);
}

TEST_F(HealthChecksTest, IntervalGrowsWhileChecksShowNothingNew) {
  HealthCheckState check;
  checks_.UpdateInterval(check, true);
  EXPECT_EQ(check.interval, 50 * kMs);
  checks_.UpdateInterval(check, false);
  EXPECT_EQ(check.interval, 100 * kMs);
  for (int i = 0; i < 5; ++i) checks_.UpdateInterval(check, false);
  EXPECT_EQ(check.interval, 400 * kMs);
}

}  // namespace
}  // namespace tulipyoke::endpoints
