#include "src/limits/slow_start_budget.hpp"

#include <algorithm>

namespace tulipyoke::limits {
namespace {

// The part of overload_multiple that may be sent to a server in slow start while the warm servers are full.
// It applies to the throughput of warm servers, which are half to three quarters utilized on most days, so
// two thirds of a multiple of 3 fill the server to its capacity.
constexpr double kOverloadMultipleShare = 2.0 / 3;
constexpr double kMicrosPerSecond = 1e6;

}  // namespace

double CapacityShare(const Settings& settings, Micros started, Micros now) {
  if (started < 0 || settings.slow_start_window <= 0) return 1;
  const double age = static_cast<double>(now - started) / static_cast<double>(settings.slow_start_window);
  const double initial = settings.slow_start_fraction;
  return std::clamp(initial + (1 - initial) * age, 0.0, 1.0);
}

double QuotaRatePerServer(const Settings& settings, std::size_t servers) {
  double quotas = 0;
  for (const TenantSettings& tenant : settings.tenants) quotas += tenant.quota_per_s;
  return quotas / kMicrosPerSecond / static_cast<double>(std::max<std::size_t>(servers, 1));
}

// A router without observations may send its equal share of one request.
bool SlowStartBudget::IsWithinBudget(const Settings& settings, Micros now, double cost,
                                     const Server& server) {
  while (!sent_.empty() && now - sent_.front().when > settings.overload_window) sent_.pop_front();
  double used = draw_ * cost;
  for (const SentRequest& sent : sent_) used += sent.cost;
  const double window = server.capacity_share * static_cast<double>(settings.overload_window);
  const double min_requests = std::max(1.0, server.quota_rate * window) / std::max(settings.router_count, 1);
  const double margin = std::max(1.0, kOverloadMultipleShare * settings.overload_multiple);
  return used < std::max(margin * server.warm_throughput * window, min_requests * cost);
}

}  // namespace tulipyoke::limits
