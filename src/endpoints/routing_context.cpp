#include "src/endpoints/routing_context.hpp"

namespace tulipyoke::endpoints {

RoutingContext::RoutingContext(const Settings& raw_settings, std::uint64_t seed)
    : settings(estimates::Normalized(raw_settings)),
      scales(settings),
      report_reader(settings),
      random(seed),
      latency(settings, scales) {}

}  // namespace tulipyoke::endpoints
