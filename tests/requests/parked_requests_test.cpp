// Tests the order in which parked requests are routed again.
#include "src/requests/parked_requests.hpp"

#include <gtest/gtest.h>

#include <vector>

namespace tulipyoke::requests {
namespace {

Request MakeRequest(RequestId id, int group) { return Request{.id = id, .group = group}; }

TEST(ParkedRequests, NewestRequestOfTheGroupIsTakenFirst) {
  ParkedRequests parked;
  for (RequestId id = 1; id <= 3; ++id) {
    Request request = MakeRequest(id, 0);
    parked.Park(request);
    EXPECT_TRUE(request.parked);
  }
  Request other = MakeRequest(9, 1);
  parked.Park(other);
  EXPECT_EQ(parked.TakeNewestFirst(0), (std::vector<RequestId>{3, 2, 1}));
  EXPECT_TRUE(parked.TakeNewestFirst(0).empty());
  EXPECT_EQ(parked.TakeNewestFirst(1), std::vector<RequestId>{9});
  EXPECT_TRUE(parked.TakeNewestFirst(2).empty());
}

TEST(ParkedRequests, RequestsParkedAgainKeepArrivalOrder) {
  ParkedRequests parked;
  std::vector<Request> requests = {MakeRequest(1, 0), MakeRequest(2, 0), MakeRequest(3, 0)};
  for (Request& request : requests) parked.Park(request);
  for (const RequestId id : parked.TakeNewestFirst(0)) {
    Request& request = requests[static_cast<std::size_t>(id - 1)];
    request.parked = false;
    parked.Park(request);
  }
  parked.RestoreArrivalOrder(0);
  EXPECT_EQ(parked.TakeNewestFirst(0), (std::vector<RequestId>{3, 2, 1}));
}

TEST(ParkedRequests, ParkingTwiceAddsTheRequestOnce) {
  ParkedRequests parked;
  Request request = MakeRequest(1, 0);
  parked.Park(request);
  parked.Park(request);
  EXPECT_EQ(parked.TakeNewestFirst(0).size(), 1u);
}

}  // namespace
}  // namespace tulipyoke::requests
