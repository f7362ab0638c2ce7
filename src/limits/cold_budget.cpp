#include "src/limits/cold_budget.hpp"

#include <algorithm>

namespace tulipyoke::limits {
namespace {

// The share of what makes a cold server fall that it is sent, where warm ones are full; what it is sent is
// reckoned by what warm ones finish. Those are half to three quarters used on most days, so that two thirds
// of a multiple of 3 fill a cold one to what it can do.
constexpr double kShareOfFall = 2.0 / 3;

}  // namespace

double Warmth(const Settings& settings, Micros cold_since, Micros now) {
  if (cold_since < 0 || settings.slow_start_window <= 0) return 1;
  const double age = static_cast<double>(now - cold_since) / static_cast<double>(settings.slow_start_window);
  return std::clamp(settings.slow_start_fraction + (1 - settings.slow_start_fraction) * age, 0.0, 1.0);
}

double EvenRate(const Settings& settings, std::size_t servers) {
  double quotas = 0;
  for (const TenantSettings& tenant : settings.tenants) quotas += tenant.quota_per_s;
  return quotas / 1e6 / static_cast<double>(std::max<std::size_t>(servers, 1));
}

// A router that knows nothing counts on its even part of one request.
bool ColdBudget::Fits(const Settings& settings, Micros now, double cost, const Server& server) {
  while (!sent_.empty() && now - sent_.front().first > settings.overload_window) sent_.pop_front();
  double used = draw_ * cost;
  for (const auto& sent : sent_) used += sent.second;
  const double window = server.warmth * static_cast<double>(settings.overload_window);
  const double even = std::max(1.0, server.even_rate * window) / std::max(settings.router_count, 1);
  const double margin = std::max(1.0, kShareOfFall * settings.overload_multiple);
  return used < std::max(margin * server.warm_rate * window, even * cost);
}

}  // namespace tulipyoke::limits
