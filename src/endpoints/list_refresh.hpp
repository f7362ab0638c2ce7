// Periodically requests the endpoint list again if it has to be polled. Otherwise the list would become
// outdated when a subscription is lost without notice.
#ifndef TULIPYOKE_SRC_ENDPOINTS_LIST_REFRESH_HPP_
#define TULIPYOKE_SRC_ENDPOINTS_LIST_REFRESH_HPP_

#include "src/endpoints/routing_context.hpp"
#include "tulipyoke/router.hpp"

namespace tulipyoke::endpoints {

class ListRefresh {
 public:
  explicit ListRefresh(const RoutingContext& context) : context_(context) {}

  // Schedules an early request after the list could not be fetched.
  void OnFetchFailed(Micros now) { next_refresh_ = now + context_.scales.longest_objective; }
  // Requests the list if it is time to.
  void RunIfDue(EventScope& scope);

 private:
  const RoutingContext& context_;
  Micros next_refresh_ = 0;
};

}  // namespace tulipyoke::endpoints

#endif  // TULIPYOKE_SRC_ENDPOINTS_LIST_REFRESH_HPP_
