#include "src/policy/slow_start.hpp"

#include "src/endpoints/warm_rates.hpp"
#include "src/limits/slow_start_budget.hpp"

namespace tulipyoke::policy {
namespace {

// A primary that warms up gets so many even parts of what only a primary can serve.
constexpr double kPartsOfPrimary = 2.0;

}  // namespace

bool SlowStart::Admits(endpoints::Server& server, int class_index, Micros now) {
  const double share = limits::CapacityShare(context_.settings, server.slow_start_from, now);
  if (share >= 1) return true;
  const double parts = endpoints::NeedsPrimary(context_.ClassOf(class_index)) ? kPartsOfPrimary : 1;
  const double even_rate = parts * limits::QuotaRatePerServer(context_.settings, table_.peak_open_count());
  const double warm_rate = table_.GroupAt(server.group).warm_throughput;
  return server.slow_start_budget.Admits(context_.settings, now, context_.latency.TypicalLatency(class_index),
                                         {share, warm_rate, even_rate},
                                         [this] { return context_.random.NextDouble(); });
}

void SlowStart::NoteSend(endpoints::Server& server, int class_index, Micros now) const {
  if (!endpoints::IsWarm(context_, server, now))
    server.slow_start_budget.Spend(now, context_.latency.TypicalLatency(class_index));
}

}  // namespace tulipyoke::policy
