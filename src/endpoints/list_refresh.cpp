#include "src/endpoints/list_refresh.hpp"

#include <algorithm>

namespace tulipyoke::endpoints {

void ListRefresh::RunIfDue(EventScope& scope) {
  const Settings& settings = context_.settings;
  if (!settings.poll_endpoint_list || scope.now < next_refresh_) return;
  scope.actions.emplace_back(WatchEndpointList{true});
  const Micros interval =
      settings.max_list_age > 0 ? settings.max_list_age / 2 : context_.scales.longest_deadline;
  next_refresh_ = scope.now + std::max(interval, settings.clock_resolution);
}

}  // namespace tulipyoke::endpoints
