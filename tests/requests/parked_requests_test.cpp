// The order in which parked requests are routed anew.
#include "src/requests/parked_requests.hpp"

#include <gtest/gtest.h>

#include <vector>

namespace tulipyoke::requests {
namespace {

Request RequestOf(RequestId id, int group) { return Request{.id = id, .group = group}; }

TEST(ParkedRequests, TheNewestIsTakenFirstAndGroupsAreApart) {
  ParkedRequests parked;
  for (RequestId id = 1; id <= 3; ++id) {
    Request request = RequestOf(id, 0);
    parked.Park(request);
    EXPECT_TRUE(request.parked);
  }
  Request other = RequestOf(9, 1);
  parked.Park(other);
  EXPECT_EQ(parked.TakeNewestFirst(0), (std::vector<RequestId>{3, 2, 1}));
  EXPECT_TRUE(parked.TakeNewestFirst(0).empty());
  EXPECT_EQ(parked.TakeNewestFirst(1), std::vector<RequestId>{9});
  EXPECT_TRUE(parked.TakeNewestFirst(2).empty());
}

TEST(ParkedRequests, ParkedAgainTheyKeepTheirOrder) {
  ParkedRequests parked;
  std::vector<Request> requests = {RequestOf(1, 0), RequestOf(2, 0), RequestOf(3, 0)};
  for (Request& request : requests) parked.Park(request);
  for (const RequestId id : parked.TakeNewestFirst(0)) {
    Request& request = requests[static_cast<std::size_t>(id - 1)];
    request.parked = false;
    parked.Park(request);
  }
  parked.RestoreOrder(0);
  EXPECT_EQ(parked.TakeNewestFirst(0), (std::vector<RequestId>{3, 2, 1}));
}

TEST(ParkedRequests, ParkingTwiceCountsOnce) {
  ParkedRequests parked;
  Request request = RequestOf(1, 0);
  parked.Park(request);
  parked.Park(request);
  EXPECT_EQ(parked.TakeNewestFirst(0).size(), 1u);
}

}  // namespace
}  // namespace tulipyoke::requests
