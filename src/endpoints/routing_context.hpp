// What the parts of one Router share, and the event that is being handled.
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

// Owned by the Router; the parts keep references to it.
struct RoutingContext {
  RoutingContext(const Settings& given, std::uint64_t seed);
  RoutingContext(const RoutingContext&) = delete;
  RoutingContext& operator=(const RoutingContext&) = delete;

  const ClassSettings& ClassOf(int index) const { return settings.classes[static_cast<std::size_t>(index)]; }
  // The position of a server that has applied everything up to the clock time.
  Micros PositionAt(Micros clock) const { return clock - settings.position_epoch; }

  const Settings settings;  // normalized
  const estimates::TimeScales scales;
  const estimates::LoadReportReader report_reader;
  estimates::Random random;
  estimates::LatencyModel latency;
  estimates::ServiceConcurrency service_concurrency;
};

// The event that is being handled: its time, and the actions that it leads to, in order.
struct EventScope {
  Micros now = 0;
  std::vector<Action>& actions;
};

// Whether only a primary can serve requests of the class.
inline bool NeedsPrimary(const ClassSettings& c) {
  return c.freshness == Freshness::kWrite || c.freshness == Freshness::kFresh;
}

}  // namespace tulipyoke::endpoints

#endif  // TULIPYOKE_SRC_ENDPOINTS_ROUTING_CONTEXT_HPP_
