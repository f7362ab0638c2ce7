// The requests that wait for a server, by group.
#ifndef TULIPYOKE_SRC_REQUESTS_PARKED_REQUESTS_HPP_
#define TULIPYOKE_SRC_REQUESTS_PARKED_REQUESTS_HPP_

#include <map>
#include <vector>

#include "src/requests/request.hpp"

namespace tulipyoke::requests {

class ParkedRequests {
 public:
  void Park(Request& request);
  // Removes and returns all requests parked in the group, newest first: under overload the newest can still
  // be answered in time. Requests that have ended since are included; the caller skips them.
  std::vector<RequestId> TakeNewestFirst(int group);
  // Restores the arrival order after all requests that were taken have been routed or parked again.
  void RestoreArrivalOrder(int group);

 private:
  std::map<int, std::vector<RequestId>> by_group_;
};

}  // namespace tulipyoke::requests

#endif  // TULIPYOKE_SRC_REQUESTS_PARKED_REQUESTS_HPP_
