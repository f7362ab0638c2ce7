#include "src/dispatch/in_flight_table.hpp"

#include <gtest/gtest.h>

#include <vector>

namespace tulipyoke {
namespace {

constexpr RequestId kRequest = 7;
constexpr ServerId kServer = 3;

TEST(InFlightTable, ListsTheUnwrittenAttemptsOfARequestInStartOrder) {
  InFlightTable table;
  table.AddRequest(kRequest, {});
  table.AddRequest(kRequest + 1, {});
  PendingRequest& request = *table.FindRequest(kRequest);
  const OperationId first = table.AddAttempt(100, kRequest, request, kServer);
  const OperationId second = table.AddAttempt(200, kRequest, request, kServer);
  const OperationId third = table.AddAttempt(300, kRequest, request, kServer);
  table.AddAttempt(50, kRequest + 1, *table.FindRequest(kRequest + 1), kServer);
  table.AddProbe(10, kServer);
  table.FindOperation(second)->written = true;
  EXPECT_EQ(table.UnwrittenAttempts(kRequest), (std::vector<OperationId>{first, third}));
  EXPECT_EQ(table.EarliestAttemptStart(kRequest), 100);
  EXPECT_EQ(request.attempts_started, 3);
}

TEST(InFlightTable, AnOperationIsRemovedOnlyOnce) {
  InFlightTable table;
  table.AddRequest(kRequest, {});
  const OperationId id = table.AddAttempt(100, kRequest, *table.FindRequest(kRequest), kServer);
  EXPECT_EQ(table.FindAttempt(kRequest, 0), id);
  const std::optional<Operation> removed = table.RemoveOperation(id);
  ASSERT_TRUE(removed);
  EXPECT_EQ(removed->server, kServer);
  EXPECT_FALSE(table.RemoveOperation(id));
  EXPECT_FALSE(table.FindAttempt(kRequest, 0));
  EXPECT_FALSE(table.EarliestAttemptStart(kRequest));
  EXPECT_TRUE(table.RemoveRequest(kRequest));
  EXPECT_FALSE(table.RemoveRequest(kRequest));
}

}  // namespace
}  // namespace tulipyoke
