// A test fixture with the objects that the policy components share.
#ifndef TULIPYOKE_TESTS_POLICY_POLICY_FIXTURE_HPP_
#define TULIPYOKE_TESTS_POLICY_POLICY_FIXTURE_HPP_

#include <gtest/gtest.h>

#include <vector>

#include "src/endpoints/endpoint_table.hpp"
#include "src/endpoints/health_checks.hpp"
#include "src/requests/request.hpp"
#include "tests/router_harness.hpp"

namespace tulipyoke::policy {

inline constexpr Micros kNow = 100 * kSecond;

// The table holds the primary 1 and the replicas 2 and 3, all warm.
class PolicyTest : public testing::Test {
 protected:
  PolicyTest() {
    endpoints::EventScope scope{kNow, actions_};
    table_.Apply({EndpointListKind::kCached, 1, {ReadyEntry(1, true), ReadyEntry(2), ReadyEntry(3)}}, checks_,
                 scope);
  }
  static requests::Request MakeRead(int class_index) {
    return {.id = 1, .class_index = class_index, .arrived = kNow, .deadline = kNow + kSecond};
  }
  void ObserveLag(ServerId id, Micros lag) {
    table_.At(id).position.Observe(kNow, kNow - lag, estimates::PositionKind::kExact, kNow, kMs);
  }

  endpoints::RoutingContext context_{TestSettings(), 1};
  endpoints::HealthChecks checks_{context_};
  endpoints::EndpointTable table_{context_};
  std::vector<Action> actions_;
};

}  // namespace tulipyoke::policy

#endif  // TULIPYOKE_TESTS_POLICY_POLICY_FIXTURE_HPP_
