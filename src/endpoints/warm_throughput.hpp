// What a warm member of each group finishes for this router: the measure for members that warm up.
#ifndef TULIPYOKE_SRC_ENDPOINTS_WARM_THROUGHPUT_HPP_
#define TULIPYOKE_SRC_ENDPOINTS_WARM_THROUGHPUT_HPP_

#include "src/endpoints/endpoint_table.hpp"
#include "src/endpoints/routing_context.hpp"

namespace tulipyoke::endpoints {

// Whether the server has all of its capacity, as far as the settings promise.
bool IsWarm(const RoutingContext& context, const Server& server, Micros now);

// Updates Group::warm_throughput of all groups. What was seen is kept while no warm member is left, since
// servers may be replaced faster than they warm up. It fades over a warm-up: warm members finish less where
// they are overloaded or fail, though they could do more. A primary's few writes say little of what another
// server can bear.
void UpdateWarmThroughputs(const RoutingContext& context, EndpointTable& table, Micros now);

}  // namespace tulipyoke::endpoints

#endif  // TULIPYOKE_SRC_ENDPOINTS_WARM_THROUGHPUT_HPP_
