#include "src/policy/slow_start.hpp"

#include "src/endpoints/warm_rates.hpp"
#include "src/limits/slow_start_budget.hpp"

namespace tulipyoke::policy {
namespace {

// For requests that only a primary can serve, a starting primary gets this multiple of a server's even share.
constexpr double kPrimaryEvenShares = 2.0;

}  // namespace

bool SlowStart::Admits(endpoints::Server& server, int class_index, Micros now) {
  const double share = limits::CapacityShare(context_.settings, server.slow_start_from, now);
  if (share >= 1) return true;
  const double even_shares = endpoints::NeedsPrimary(context_.ClassOf(class_index)) ? kPrimaryEvenShares : 1;
  const double even_rate =
      even_shares * limits::QuotaRatePerServer(context_.settings, table_.peak_open_count());
  const double warm_rate = table_.GroupAt(server.group).warm_throughput;
  return server.slow_start_budget.Admits(context_.settings, now, context_.latency.TypicalLatency(class_index),
                                         {share, warm_rate, even_rate},
                                         [this] { return context_.random.NextDouble(); });
}

void SlowStart::RecordSend(endpoints::Server& server, int class_index, Micros now) const {
  if (!endpoints::IsWarm(context_, server, now))
    server.slow_start_budget.Spend(now, context_.latency.TypicalLatency(class_index));
}

}  // namespace tulipyoke::policy
