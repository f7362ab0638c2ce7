#include "src/requests/parked_requests.hpp"

#include <algorithm>

namespace tulipyoke::requests {

void ParkedRequests::Park(Request& request) {
  if (!request.parked) by_group_[request.group].push_back(request.id);
  request.parked = true;
}

std::vector<RequestId> ParkedRequests::TakeNewestFirst(int group) {
  std::vector<RequestId> taken;
  const auto parked = by_group_.find(group);
  if (parked == by_group_.end()) return taken;
  taken.swap(parked->second);
  std::reverse(taken.begin(), taken.end());
  return taken;
}

void ParkedRequests::RestoreArrivalOrder(int group) {
  const auto parked = by_group_.find(group);
  if (parked != by_group_.end()) std::reverse(parked->second.begin(), parked->second.end());
}

}  // namespace tulipyoke::requests
