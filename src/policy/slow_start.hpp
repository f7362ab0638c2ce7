// Slow start: limits the load of a recently started server while it warms up.
#ifndef TULIPYOKE_SRC_POLICY_SLOW_START_HPP_
#define TULIPYOKE_SRC_POLICY_SLOW_START_HPP_

#include "src/endpoints/endpoint_table.hpp"
#include "src/endpoints/routing_context.hpp"

namespace tulipyoke::policy {

class SlowStart {
 public:
  SlowStart(endpoints::RoutingContext& context, endpoints::EndpointTable& table)
      : context_(context), table_(table) {}

  // Whether the server may be sent one more request of the class.
  bool Admits(endpoints::Server& server, int class_index, Micros now);
  void RecordSend(endpoints::Server& server, int class_index, Micros now) const;

 private:
  endpoints::RoutingContext& context_;
  endpoints::EndpointTable& table_;
};

}  // namespace tulipyoke::policy

#endif  // TULIPYOKE_SRC_POLICY_SLOW_START_HPP_
