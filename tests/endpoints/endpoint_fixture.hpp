// A test fixture with an endpoint table and health checks.
#ifndef TULIPYOKE_TESTS_ENDPOINTS_ENDPOINT_FIXTURE_HPP_
#define TULIPYOKE_TESTS_ENDPOINTS_ENDPOINT_FIXTURE_HPP_

#include <gtest/gtest.h>

#include <utility>
#include <vector>

#include "src/endpoints/endpoint_table.hpp"
#include "src/endpoints/health_checks.hpp"
#include "tests/router_harness.hpp"

namespace tulipyoke::endpoints {

class EndpointFixture : public testing::Test {
 protected:
  explicit EndpointFixture(const Settings& settings = TestSettings())
      : context_(settings, 1), checks_(context_), table_(context_) {}

  void Apply(EndpointListKind kind, std::vector<EndpointEntry> entries) {
    EventScope scope{now_, actions_};
    table_.Apply({kind, 1, std::move(entries)}, checks_, scope);
  }
  static EndpointEntry EntryWithState(ServerId id, ServerState state) {
    EndpointEntry entry = ReadyEntry(id);
    entry.state = state;
    return entry;
  }

  RoutingContext context_;
  HealthChecks checks_;
  EndpointTable table_;
  std::vector<Action> actions_;
  Micros now_ = 100 * kSecond;
};

}  // namespace tulipyoke::endpoints

#endif  // TULIPYOKE_TESTS_ENDPOINTS_ENDPOINT_FIXTURE_HPP_
