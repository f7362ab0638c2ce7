// Tests operations that wait for a connection while their server drains, is removed from the endpoint list,
// changes its address or restarts. Each test produces two events in the less expected order; see
// docs/design/crossings.md.
#include "src/upstream/pending_operations.hpp"

#include <gtest/gtest.h>

#include <cstddef>
#include <deque>
#include <string>
#include <variant>

#include "tests/dispatch/router_harness.hpp"
#include "tests/upstream/upstream_pool_fixture.hpp"

namespace tulipyoke::net {
namespace {

TEST(PendingOperations, TakesTheFirstOrLastOperation) {
  PendingOperations pending;
  for (const OperationId id : {1u, 2u, 3u}) pending.Push(7, {.operation_id = id});
  pending.Push(8, {.operation_id = 4});
  EXPECT_EQ(pending.Count(7), 3u);
  EXPECT_EQ(pending.TakeFirst(7).operation_id, 1u);
  EXPECT_EQ(pending.TakeLast(7).operation_id, 3u);
  EXPECT_EQ(pending.Count(7), 1u);
  EXPECT_EQ(pending.Count(8), 1u);
  EXPECT_EQ(pending.Count(9), 0u);
}

TEST(PendingOperations, DoesNotTakeARemovedOperation) {
  PendingOperations pending;
  for (const OperationId id : {1u, 2u, 3u}) pending.Push(7, {.operation_id = id});
  pending.Remove(2);
  pending.Remove(2);
  pending.Remove(5);
  const std::deque<PendingOperation> remaining = pending.TakeAll(7);
  ASSERT_EQ(remaining.size(), 2u);
  EXPECT_EQ(remaining[0].operation_id, 1u);
  EXPECT_EQ(remaining[1].operation_id, 3u);
  EXPECT_EQ(pending.Count(7), 0u);
  EXPECT_TRUE(pending.TakeAll(7).empty());
  pending.Remove(1);
}

// Guards against sending a statement after the drain timeout: the attempt was waiting for a connection when
// its server began to drain, and the connection may be established at any later time.
TEST_F(UpstreamPoolTest, APendingOperationMovesWhenItsServerDrains) {
  ManualServer other;
  harness.Start({RouterHarness::ListedServerAt("a", server.port())});
  const RequestId id = harness.Submit("statement");
  ASSERT_TRUE(harness.RunUntil([&] { return server.Accept(); }));
  harness.UpdateServer(RouterHarness::ListedServerAt("b", other.port()));
  harness.UpdateServer(RouterHarness::ListedServerAt("a", server.port(), ServerState::kDraining));
  server.CompleteStartup(0);  // late
  ServeOn(other, 0, "statement", id);
  ExpectClosedWithoutReceiving(0, "statement");
  // Once it is ready again, the server receives requests.
  harness.UpdateServer(RouterHarness::ListedServerAt("b", other.port(), ServerState::kDraining));
  harness.UpdateServer(RouterHarness::ListedServerAt("a", server.port()));
  const RequestId next = harness.Submit("next");
  ServeOn(server, 1, "next", next);
}

// Guards against sending a statement to a server that a complete endpoint list no longer contains, although
// the connection to it is established.
TEST_F(UpstreamPoolTest, APendingOperationMovesWhenItsServerIsNoLongerListed) {
  ManualServer other;
  ExpectServedByOtherServerAfter({RouterHarness::ListedServerAt("b", other.port())}, other);
}

// Guards against using a cached endpoint list after the first update from the watch, also for operations that
// are waiting for a connection at that time.
TEST_F(UpstreamPoolTest, ACachedEndpointListIsReplacedByTheFirstUpdate) {
  ManualServer other;
  ExpectServedByOtherServerAfter({RouterHarness::ListedServerAt("a", server.port(), ServerState::kDraining),
                                  RouterHarness::ListedServerAt("b", other.port())},
                                 other);
}

// Guards against sending a statement to the previous address of its server.
TEST_F(UpstreamPoolTest, APendingOperationMovesToANewAddress) {
  ManualServer relocated;
  harness.Start({RouterHarness::ListedServerAt("a", server.port())});
  const RequestId id = harness.Submit("statement");
  ASSERT_TRUE(harness.RunUntil([&] { return server.Accept(); }));
  harness.UpdateServer(RouterHarness::ListedServerAt("a", relocated.port()));  // the old one never opens
  ServeOn(relocated, 0, "statement", id);
  ExpectClosedWithoutReceiving(0, "statement");
}

// Guards against cancelling the query that is running when the address changes, and against sending another
// query on its connection.
TEST_F(UpstreamPoolTest, ARunningOperationFinishesAtTheOldAddress) {
  ManualServer relocated;
  OpenIdleConnection();
  const RequestId id = harness.Submit("second");
  ASSERT_TRUE(harness.RunUntil([&] { return server.Received(0, "second"); }));
  harness.UpdateServer(RouterHarness::ListedServerAt("a", relocated.port()));
  server.Send(0, Row("v"));
  EXPECT_TRUE(harness.RunUntil([&] { return harness.IsServed(id); }));
  const RequestId third = harness.Submit("third");
  ServeOn(relocated, 0, "third", third);
  ExpectClosedWithoutReceiving(0, "third");
}

// A server restarts under the same id while one attempt runs and another waits for a connection. Guards
// against sending the first again, which may have been executed; the second is sent to the new server
// process.
TEST_F(UpstreamPoolTest, ARestartedServerReceivesOnlyPendingOperations) {
  OpenIdleConnection();
  const RequestId sent_id = harness.Submit("second");
  ASSERT_TRUE(harness.RunUntil([&] { return server.Received(0, "second"); }));
  const RequestId pending_id = harness.Submit("third");
  ASSERT_TRUE(harness.RunUntil([&] { return server.Accept(); }));
  server.sockets[0].close();
  server.sockets[1].close();
  ListedServer restarted = RouterHarness::ListedServerAt("a", server.port());
  restarted.started_unix_ms = harness.clock.Now() / 1000;
  harness.UpdateServer(restarted);
  ServeOn(server, 2, "third", pending_id);
  EXPECT_TRUE(harness.RunUntil([&] { return harness.responses.contains(sent_id); }));
  EXPECT_TRUE(std::holds_alternative<FailedResponse>(harness.responses.at(sent_id)));
  EXPECT_EQ(server.received[2].find("second"), std::string::npos);
}

// Guards against aborting a statement because its server begins to drain while the statement is being
// written.
TEST_F(UpstreamPoolTest, AStatementBeingWrittenWhenItsServerDrainsIsCompleted) {
  OpenIdleConnection();
  const std::string statement(std::size_t{64} << 20, 'x');
  const RequestId id = harness.Submit(statement);
  harness.RunUntilIdle();
  harness.UpdateServer(RouterHarness::ListedServerAt("a", server.port(), ServerState::kDraining));
  ASSERT_TRUE(harness.RunUntil(
      [&] { return server.ReadAvailable(0) || server.received[0].size() > statement.size(); }));
  server.Send(0, Row("v"));
  EXPECT_TRUE(harness.RunUntil([&] { return harness.IsServed(id); }));
}

}  // namespace
}  // namespace tulipyoke::net
