// Asks for the endpoint list anew from time to time, where it has to be asked for: a subscription that was
// lost without notice would leave it to age.
#ifndef TULIPYOKE_SRC_ENDPOINTS_LIST_REFRESH_HPP_
#define TULIPYOKE_SRC_ENDPOINTS_LIST_REFRESH_HPP_

#include "src/endpoints/routing_context.hpp"
#include "tulipyoke/router.hpp"

namespace tulipyoke::endpoints {

class ListRefresh {
 public:
  explicit ListRefresh(const RoutingContext& context) : context_(context) {}

  // The list could not be had: ask again soon.
  void OnFetchFailed(Micros now) { next_refresh_ = now + context_.scales.longest_objective; }
  // Asks where it is due.
  void RunIfDue(EventScope& scope);

 private:
  const RoutingContext& context_;
  Micros next_refresh_ = 0;
};

}  // namespace tulipyoke::endpoints

#endif  // TULIPYOKE_SRC_ENDPOINTS_LIST_REFRESH_HPP_
