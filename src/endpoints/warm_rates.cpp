#include "src/endpoints/warm_rates.hpp"

#include <algorithm>

#include "src/estimates/decay.hpp"
#include "src/limits/slow_start_budget.hpp"

namespace tulipyoke::endpoints {
namespace {

double FinishedWorkRate(const RoutingContext& context, const Server& server, Micros now) {
  const Micros observed_for = std::max(now - server.known_since, context.settings.overload_window);
  return server.throughput.Rate(now, observed_for, context.scales.throughput_window);
}

void UpdateWarmThroughput(const RoutingContext& context, const EndpointTable& table, Group& group,
                          Micros now) {
  double sum = 0;
  int count = 0;
  for (const ServerId id : group.members) {
    const Server& server = table.At(id);
    const bool is_primary = group.has_primary && id == group.primary;
    if (!server.open || is_primary || !IsWarm(context, server, now)) continue;
    sum += FinishedWorkRate(context, server, now);
    ++count;
  }
  const double housekeeping_interval = static_cast<double>(context.scales.housekeeping_interval);
  const double throughput_window = static_cast<double>(context.scales.throughput_window);
  const double kept =
      group.warm_throughput * (1 - estimates::RatioOrZero(housekeeping_interval, throughput_window));
  if (count > 0) group.warm_throughput = std::max(kept, sum / count);
}

}  // namespace

bool IsWarm(const RoutingContext& context, const Server& server, Micros now) {
  return limits::CapacityShare(context.settings, server.slow_start_from, now) >= 1;
}

void UpdateWarmThroughputs(const RoutingContext& context, EndpointTable& table, Micros now) {
  for (auto& [number, group] : table.groups()) UpdateWarmThroughput(context, table, group, now);
}

}  // namespace tulipyoke::endpoints
