// Tests of the times at which the endpoint list is requested again.
#include "src/endpoints/list_refresh.hpp"

#include <gtest/gtest.h>

#include <vector>

#include "tests/router_harness.hpp"

namespace tulipyoke::endpoints {
namespace {

TEST(ListRefresh, RequestsTheListAtHalfItsMaximumAge) {
  Settings settings = TestSettings();
  settings.poll_endpoint_list = true;
  settings.max_list_age = 4 * kSecond;
  const RoutingContext context(settings, 1);
  ListRefresh refresh(context);
  std::vector<Action> actions;
  for (Micros now = 100 * kSecond; now <= 106 * kSecond; now += 100 * kMs) {
    EventScope scope{now, actions};
    refresh.RunIfDue(scope);
  }
  EXPECT_EQ(ActionsOfType<WatchEndpointList>(actions).size(), 4u);
  refresh.OnFetchFailed(106 * kSecond);
  EventScope soon{106 * kSecond + 400 * kMs, actions};
  refresh.RunIfDue(soon);
  EXPECT_EQ(ActionsOfType<WatchEndpointList>(actions).size(), 5u);
}

}  // namespace
}  // namespace tulipyoke::endpoints
