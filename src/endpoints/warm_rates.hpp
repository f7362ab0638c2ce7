// The throughput of a warm member of each group for this router, used to limit members in slow start.
#ifndef TULIPYOKE_SRC_ENDPOINTS_WARM_RATES_HPP_
#define TULIPYOKE_SRC_ENDPOINTS_WARM_RATES_HPP_

#include "src/endpoints/endpoint_table.hpp"
#include "src/endpoints/routing_context.hpp"

namespace tulipyoke::endpoints {

// Returns whether the server has its full capacity according to the settings.
bool IsWarm(const RoutingContext& context, const Server& server, Micros now);

// Updates Group::warm_throughput of all groups. The last value is kept while no member is warm, because
// servers may be replaced faster than they warm up. Otherwise it falls only gradually, over a slow start:
// warm members finish less while they are overloaded or fail, although they have more capacity. The primary
// is not counted, because its few writes say little about the capacity of other servers.
void UpdateWarmThroughputs(const RoutingContext& context, EndpointTable& table, Micros now);

}  // namespace tulipyoke::endpoints

#endif  // TULIPYOKE_SRC_ENDPOINTS_WARM_RATES_HPP_
