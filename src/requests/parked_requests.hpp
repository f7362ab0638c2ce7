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
  // Takes out all that wait in the group, newest first: under overload the newest can still be answered in
  // time. Those that ended meanwhile are to be passed over by the caller.
  std::vector<RequestId> TakeNewestFirst(int group);
  // Restores the order of arrival after all that were taken out have been routed or parked again.
  void RestoreOrder(int group);

 private:
  std::map<int, std::vector<RequestId>> by_group_;
};

}  // namespace tulipyoke::requests

#endif  // TULIPYOKE_SRC_REQUESTS_PARKED_REQUESTS_HPP_
