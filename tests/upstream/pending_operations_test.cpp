// Operations that wait for a connection when their server drains, leaves the list, moves or restarts. Each
// brings two events about in the order that is not expected: see docs/design/crossings.md.
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

TEST(PendingOperations, AreTakenInTheirOrderOrFromTheEnd) {
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

TEST(PendingOperations, ARemovedOneIsNotTaken) {
  PendingOperations pending;
  for (const OperationId id : {1u, 2u, 3u}) pending.Push(7, {.operation_id = id});
  pending.Remove(2);
  pending.Remove(2);
  pending.Remove(5);
  const std::deque<PendingOperation> rest = pending.TakeAll(7);
  ASSERT_EQ(rest.size(), 2u);
  EXPECT_EQ(rest[0].operation_id, 1u);
  EXPECT_EQ(rest[1].operation_id, 3u);
  EXPECT_EQ(pending.Count(7), 0u);
  EXPECT_TRUE(pending.TakeAll(7).empty());
  pending.Remove(1);
}

// Guards against a statement that is sent after the drain timeout: the attempt waited for its connection when
// its server began to drain, and the connection may come up at any time.
TEST_F(UpstreamPoolTest, APendingOperationMovesWhenItsServerDrains) {
  ManualServer other;
  harness.Start({RouterHarness::ListedServerAt("a", server.port())});
  const RequestId id = harness.Submit("statement");
  ASSERT_TRUE(harness.RunUntil([&] { return server.Accept(); }));
  harness.UpdateServer(RouterHarness::ListedServerAt("b", other.port()));
  harness.UpdateServer(RouterHarness::ListedServerAt("a", server.port(), ServerState::kDraining));
  server.CompleteStartup(0);  // late
  ServeOn(other, 0, "statement", id);
  ExpectEndedWithout(0, "statement");
  // Back in service, it takes requests again.
  harness.UpdateServer(RouterHarness::ListedServerAt("b", other.port(), ServerState::kDraining));
  harness.UpdateServer(RouterHarness::ListedServerAt("a", server.port()));
  const RequestId next = harness.Submit("next");
  ServeOn(server, 1, "next", next);
}

// Guards against a statement that is sent to a server which a complete list no longer has: its connection
// comes up all the same.
TEST_F(UpstreamPoolTest, APendingOperationMovesWhenItsServerIsNoLongerListed) {
  ManualServer other;
  ExpectServedElsewhereAfter({RouterHarness::ListedServerAt("b", other.port())}, other);
}

// Guards against a cached list that outlives the first update of the watch, also for operations that wait for
// a connection by then.
TEST_F(UpstreamPoolTest, ACachedListHoldsOnlyUntilTheFirstUpdate) {
  ManualServer other;
  ExpectServedElsewhereAfter({RouterHarness::ListedServerAt("a", server.port(), ServerState::kDraining),
                              RouterHarness::ListedServerAt("b", other.port())},
                             other);
}

// Guards against a statement that is sent to an address at which its server no longer is.
TEST_F(UpstreamPoolTest, APendingOperationMovesToANewAddress) {
  ManualServer moved;
  harness.Start({RouterHarness::ListedServerAt("a", server.port())});
  const RequestId id = harness.Submit("statement");
  ASSERT_TRUE(harness.RunUntil([&] { return server.Accept(); }));
  harness.UpdateServer(RouterHarness::ListedServerAt("a", moved.port()));  // the old one never comes up
  ServeOn(moved, 0, "statement", id);
  ExpectEndedWithout(0, "statement");
}

// Guards against a next query on the connection that was busy when the address changed, and against cutting
// off the query that ran.
TEST_F(UpstreamPoolTest, ARunningOperationIsFinishedAtTheOldAddress) {
  ManualServer moved;
  OpenIdleConnection();
  const RequestId id = harness.Submit("second");
  ASSERT_TRUE(harness.RunUntil([&] { return server.Received(0, "second"); }));
  harness.UpdateServer(RouterHarness::ListedServerAt("a", moved.port()));
  server.Send(0, Row("v"));
  EXPECT_TRUE(harness.RunUntil([&] { return harness.IsServed(id); }));
  const RequestId third = harness.Submit("third");
  ServeOn(moved, 0, "third", third);
  ExpectEndedWithout(0, "third");
}

// Guards against a server that restarts under its id while one attempt runs and another waits for its
// connection: the one that may have run is not sent again, the other goes to the new process.
TEST_F(UpstreamPoolTest, ARestartedServerRunsOnlyPendingOperations) {
  OpenIdleConnection();
  const RequestId out = harness.Submit("second");
  ASSERT_TRUE(harness.RunUntil([&] { return server.Received(0, "second"); }));
  const RequestId waits = harness.Submit("third");
  ASSERT_TRUE(harness.RunUntil([&] { return server.Accept(); }));
  server.sockets[0].close();
  server.sockets[1].close();
  ListedServer anew = RouterHarness::ListedServerAt("a", server.port());
  anew.started_unix_ms = harness.clock.Now() / 1000;
  harness.UpdateServer(anew);
  ServeOn(server, 2, "third", waits);
  EXPECT_TRUE(harness.RunUntil([&] { return harness.responses.contains(out); }));
  EXPECT_TRUE(std::holds_alternative<FailedResponse>(harness.responses.at(out)));
  EXPECT_EQ(server.received[2].find("second"), std::string::npos);
}

// Guards against a statement that is cut off since its server began to drain while it was written.
TEST_F(UpstreamPoolTest, AStatementThatIsBeingWrittenWhenItsServerDrainsIsCompleted) {
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
