#include "src/endpoints/warm_rates.hpp"

#include <algorithm>

#include "src/estimates/decay.hpp"
#include "src/limits/slow_start_budget.hpp"

namespace tulipyoke::endpoints {
namespace {

double FinishedWorkRate(const RoutingContext& context, const Server& server, Micros now) {
  const Micros known_for = std::max(now - server.known_since, context.settings.overload_window);
  return server.throughput.Rate(now, known_for, context.scales.work_span);
}

void UpdateWarmRate(const RoutingContext& context, const EndpointTable& table, Group& group, Micros now) {
  double sum = 0;
  int count = 0;
  for (const ServerId id : group.members) {
    const Server& server = table.At(id);
    const bool is_primary = group.has_primary && id == group.primary;
    if (!server.open || is_primary || !IsWarm(context, server, now)) continue;
    sum += FinishedWorkRate(context, server, now);
    ++count;
  }
  const double check_interval = static_cast<double>(context.scales.check_interval);
  const double work_span = static_cast<double>(context.scales.work_span);
  const double kept = group.warm_rate * (1 - estimates::RatioOrZero(check_interval, work_span));
  if (count > 0) group.warm_rate = std::max(kept, sum / count);
}

}  // namespace

bool IsWarm(const RoutingContext& context, const Server& server, Micros now) {
  return limits::CapacityShare(context.settings, server.slow_start_from, now) >= 1;
}

void UpdateWarmRates(const RoutingContext& context, EndpointTable& table, Micros now) {
  for (auto& [number, group] : table.groups()) UpdateWarmRate(context, table, group, now);
}

}  // namespace tulipyoke::endpoints
