// The state that the components of one Router share, and the event being handled.
#ifndef TULIPYOKE_SRC_ENDPOINTS_ROUTING_CONTEXT_HPP_
#define TULIPYOKE_SRC_ENDPOINTS_ROUTING_CONTEXT_HPP_

#include <cstdint>
#include <vector>

#include "src/estimates/latency_model.hpp"
#include "src/estimates/load_report.hpp"
#include "src/estimates/random.hpp"
#include "src/estimates/throughput.hpp"
#include "src/estimates/time_scales.hpp"
#include "tulipyoke/router.hpp"

namespace tulipyoke::endpoints {

// Owned by the Router; its components keep references to it.
struct RoutingContext {
  RoutingContext(const Settings& raw_settings, std::uint64_t seed);
  RoutingContext(const RoutingContext&) = delete;
  RoutingContext& operator=(const RoutingContext&) = delete;

  const ClassSettings& ClassOf(int index) const { return settings.classes[static_cast<std::size_t>(index)]; }
  // The replication position of a server that has applied everything up to the given clock time.
  Micros PositionAt(Micros clock) const { return clock - settings.position_epoch; }

  const Settings settings;  // normalized
  const estimates::TimeScales scales;
  const estimates::LoadReportReader report_reader;
  estimates::Random random;
  estimates::LatencyModel latency;
  estimates::ServiceConcurrency service_concurrency;
};

// The event being handled: its time and the resulting actions, in order.
struct EventScope {
  Micros now = 0;
  std::vector<Action>& actions;
};

// Returns whether requests of the class can only be served by a primary.
inline bool NeedsPrimary(const ClassSettings& c) {
  return c.freshness == Freshness::kWrite || c.freshness == Freshness::kFresh;
}

}  // namespace tulipyoke::endpoints

#endif  // TULIPYOKE_SRC_ENDPOINTS_ROUTING_CONTEXT_HPP_
